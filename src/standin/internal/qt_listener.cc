#include "standin/internal/qt_listener.h"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QMetaEnum>
#include <QPointer>
#include <QTcpSocket>
#include <QUrl>
#include <memory>
#include <utility>

namespace acacialug::standin {
namespace {

http::Request ToRequest(const QHttpServerRequest& request) {
  const auto methods = QMetaEnum::fromType<QHttpServerRequest::Method>();
  http::Request converted;
  converted.method =
      QByteArray(methods.valueToKey(static_cast<int>(request.method())))
          .toUpper()
          .toStdString();
  const QUrl url = request.url();
  converted.target = url.path(QUrl::FullyEncoded).toStdString();
  if (url.hasQuery()) {
    converted.target += "?" + url.query(QUrl::FullyEncoded).toStdString();
  }
  for (const auto& [name, value] : request.headers()) {
    converted.headers.push_back({name.toStdString(), value.toStdString()});
  }
  converted.body = request.body().toStdString();
  return converted;
}

void Write(QHttpServerResponder& responder, const http::Response& response) {
  responder.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(response.status));
  for (const http::Header& header : response.headers) {
    responder.writeHeader(QByteArray::fromStdString(header.name),
                          QByteArray::fromStdString(header.value));
  }
  responder.writeHeader("Content-Length",
                        QByteArray::number(qint64(response.body.size())));
  responder.writeBody(QByteArray::fromStdString(response.body));
}

// The responder has a raw pointer to its socket, which Qt deletes with the
// connection, so that a later answer must check it first.
Reply MakeReply(QHttpServerResponder&& responder) {
  const QPointer<QTcpSocket> socket(responder.socket());
  auto kept = std::make_shared<QHttpServerResponder>(std::move(responder));
  return [socket, kept](const std::optional<http::Response>& response) {
    if (!socket || socket->state() != QAbstractSocket::ConnectedState) {
      return;
    }
    if (response) {
      Write(*kept, *response);
    } else {
      socket->abort();
    }
  };
}

}  // namespace

QtListener::QtListener(Handler request_handler)
    : handler(std::move(request_handler)) {
  // No route is set, so that every request is handled here.
  this->server.setMissingHandler([this](const QHttpServerRequest& request,
                                        QHttpServerResponder&& responder) {
    this->handler(ToRequest(request), MakeReply(std::move(responder)));
  });
}

Status QtListener::Start(const http::Address& listen) {
  const quint16 port = this->server.listen(
      QHostAddress(QString::fromStdString(listen.ip)), listen.port);
  if (port == 0) {
    return Error(ResultCode::kAddressInUse, http::ToString(listen));
  }
  this->listening = {.ip = listen.ip, .port = port};
  return Success{};
}

}  // namespace acacialug::standin
