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
  NodeExchange(QNetworkReply* network_reply, const AskOptions& ask_options)
      : options(ask_options), reply(network_reply) {
    QObject::connect(reply, &QNetworkReply::readyRead, reply,
                     [this] { this->Read(); });
  }

  // The transfer timeout of Qt's network access counts silence only: a process
  // that sends a byte now and then would hold the command for ever.
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

  const AskOptions& options;
  QNetworkReply* reply;
  std::string body;
  bool too_large = false;
  bool late = false;
};

QNetworkReply* Send(QNetworkAccessManager& manager,
                    const NodeQuestion& question) {
  QNetworkRequest request(QUrl(QString::fromStdString(
      "http://" + http::ToString(question.address) + question.path)));
  // Whoever answers at an address that was given must not send this program to
  // another one.
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  if (question.method == "POST") {
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    return manager.post(request, QByteArray::fromStdString(question.body));
  }
  return manager.get(request);
}

}  // namespace

std::vector<NodeAnswer> AskNodes(const std::vector<NodeQuestion>& questions,
                                 const AskOptions& options) {
  QNetworkAccessManager manager;
  QEventLoop loop;
  std::vector<std::unique_ptr<NodeExchange>> exchanges;
  std::size_t done = 0;
  for (const NodeQuestion& question : questions) {
    QNetworkReply* const reply = Send(manager, question);
    exchanges.push_back(std::make_unique<NodeExchange>(reply, options));
    QObject::connect(reply, &QNetworkReply::finished, &loop, [&] {
      ++done;
      if (options.on_progress) {
        options.on_progress(done);
      }
      if (done == questions.size()) {
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
  if (done < questions.size()) {
    loop.exec();
  }
  std::vector<NodeAnswer> answers;
  answers.reserve(questions.size());
  for (std::size_t at = 0; at < questions.size(); ++at) {
    answers.push_back(
        {.address = questions[at].address, .response = exchanges[at]->Take()});
    exchanges[at]->Reply()->disconnect();
  }
  return answers;
}

std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress) {
  std::vector<NodeQuestion> questions;
  questions.reserve(addresses.size());
  for (const http::Address& address : addresses) {
    questions.push_back({.address = address, .path = path});
  }
  std::vector<ScrapedPage> pages;
  for (NodeAnswer& answer :
       AskNodes(questions, {.timeout = timeout, .on_progress = on_progress})) {
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
