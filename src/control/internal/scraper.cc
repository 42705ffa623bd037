#include "control/scraper.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace acacialug::control {
namespace {

Result<std::string> ReadReply(QNetworkReply& reply) {
  if (reply.error() != QNetworkReply::NoError) {
    return Error(ResultCode::kPlatformUnavailable,
                 reply.errorString().toStdString());
  }
  return reply.readAll().toStdString();
}

}  // namespace

std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress) {
  std::vector<ScrapedPage> pages;
  pages.reserve(addresses.size());
  for (const http::Address& address : addresses) {
    pages.push_back({address, Error(ResultCode::kPlatformUnavailable)});
  }
  QNetworkAccessManager manager;
  manager.setTransferTimeout(static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
  QEventLoop loop;
  std::size_t done = 0;
  for (ScrapedPage& page : pages) {
    QNetworkRequest request(QUrl(QString::fromStdString(
        "http://" + http::ToString(page.address) + path)));
    QNetworkReply* const reply = manager.get(request);
    QObject::connect(reply, &QNetworkReply::finished, &loop,
                     [reply, &page, &done, &loop, &pages, &on_progress] {
                       page.body = ReadReply(*reply);
                       reply->deleteLater();
                       ++done;
                       if (on_progress) {
                         on_progress(done);
                       }
                       if (done == pages.size()) {
                         loop.quit();
                       }
                     });
  }
  if (!pages.empty()) {
    loop.exec();
  }
  return pages;
}

}  // namespace acacialug::control
