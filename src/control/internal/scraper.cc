#include "control/scraper.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <memory>
#include <utility>

namespace acacialug::control {
namespace {

constexpr int kOk = 200;

// One exchange with a process, from request to answer.
class NodeExchange {
 public:
  NodeExchange(QNetworkReply* network_reply, const QueryOptions& query_options)
      : options(query_options), reply(network_reply) {
    QObject::connect(reply, &QNetworkReply::readyRead, reply,
                     [this] { this->Read(); });
  }

  // The transfer timeout of Qt's network access restarts with each byte: a
  // process that sends single bytes would block the command without end.
  void StopAtTimeout() {
    if (!this->reply->isFinished()) {
      this->late = true;
      this->reply->abort();
    }
  }

  Result<http::Response> Take() {
    this->Read();
    if (this->too_large) {
      return Error(ResultCode::kNodeBadAnswer,
                   "more than " +
                       std::to_string(this->options.max_answer_bytes) +
                       " bytes");
    }
    const QVariant status =
        this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
    if (this->late || !status.isValid()) {
      return Error(ResultCode::kNodeUnreachable,
                   this->late ? "no answer in time"
                              : this->reply->errorString().toStdString());
    }
    return http::Response{.status = status.toInt(),
                          .body = std::move(this->body)};
  }

  QNetworkReply* Reply() const { return this->reply; }

 private:
  void Read() {
    if (this->too_large) {
      return;
    }
    this->body += this->reply->readAll().toStdString();
    if (this->body.size() > this->options.max_answer_bytes) {
      this->too_large = true;
      this->reply->abort();
    }
  }

  const QueryOptions& options;
  QNetworkReply* reply;
  std::string body;
  bool too_large = false;
  bool late = false;
};

QNetworkReply* Send(QNetworkAccessManager& manager,
                    const NodeRequest& node_request) {
  QNetworkRequest request(QUrl(QString::fromStdString(
      "http://" + http::ToString(node_request.address) + node_request.path)));
  // A process at a given address must not redirect this program to another
  // address.
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  if (node_request.method == "POST") {
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    return manager.post(request, QByteArray::fromStdString(node_request.body));
  }
  return manager.get(request);
}

}  // namespace

std::vector<NodeAnswer> QueryNodes(
    const std::vector<NodeRequest>& node_requests,
    const QueryOptions& options) {
  QNetworkAccessManager manager;
  QEventLoop loop;
  std::vector<std::unique_ptr<NodeExchange>> exchanges;
  std::size_t done = 0;
  for (const NodeRequest& node_request : node_requests) {
    QNetworkReply* const reply = Send(manager, node_request);
    exchanges.push_back(std::make_unique<NodeExchange>(reply, options));
    QObject::connect(reply, &QNetworkReply::finished, &loop, [&] {
      ++done;
      if (options.on_progress) {
        options.on_progress(done);
      }
      if (done == node_requests.size()) {
        loop.quit();
      }
    });
  }
  QTimer::singleShot(
      std::chrono::ceil<std::chrono::milliseconds>(options.timeout), &loop,
      [&exchanges] {
        for (const auto& exchange : exchanges) {
          exchange->StopAtTimeout();
        }
      });
  if (done < node_requests.size()) {
    loop.exec();
  }
  std::vector<NodeAnswer> answers;
  answers.reserve(node_requests.size());
  for (std::size_t at = 0; at < node_requests.size(); ++at) {
    answers.push_back({.address = node_requests[at].address,
                       .response = exchanges[at]->Take()});
    exchanges[at]->Reply()->disconnect();
  }
  return answers;
}

std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress) {
  std::vector<NodeRequest> node_requests;
  node_requests.reserve(addresses.size());
  for (const http::Address& address : addresses) {
    node_requests.push_back({.address = address, .path = path});
  }
  std::vector<ScrapedPage> pages;
  for (NodeAnswer& answer : QueryNodes(
           node_requests, {.timeout = timeout, .on_progress = on_progress})) {
    Result<std::string> body =
        Error(ResultCode::kNodeBadAnswer, "another status than 200");
    if (!answer.response.ok()) {
      body = answer.response.error();
    } else if (answer.response->status == kOk) {
      body = std::move(answer.response.value().body);
    }
    pages.push_back({.address = answer.address, .body = std::move(body)});
  }
  return pages;
}

}  // namespace acacialug::control
