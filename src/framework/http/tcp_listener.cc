#include "framework/http/tcp_listener.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTimer>
#include <utility>

namespace acacialug::http {
namespace {

// After a restart all peers connect at once.
constexpr int kBacklog = 1024;
constexpr std::chrono::milliseconds kAcceptRetry{100};

}  // namespace

TcpListener::TcpListener(OnDescriptor on_descriptor)
    : handler(std::move(on_descriptor)) {
  this->setProxy(QNetworkProxy::NoProxy);
  this->setListenBacklogSize(kBacklog);
  // Qt stops accepting for good when an accept fails, for example for want of
  // descriptors; without this the process would live on and take nobody.
  QObject::connect(this, &QTcpServer::acceptError, this, [this] {
    QTimer::singleShot(kAcceptRetry, this, [this] { this->resumeAccepting(); });
  });
}

Status TcpListener::Listen(const Address& address) {
  const QHostAddress host(QString::fromStdString(address.ip));
  if (host.isNull() || !this->listen(host, address.port)) {
    return Error(ResultCode::kAddressInUse,
                 ToString(address) + ": " + this->errorString().toStdString());
  }
  return Success();
}

void TcpListener::incomingConnection(qintptr descriptor) {
  this->handler(descriptor);
}

}  // namespace acacialug::http
