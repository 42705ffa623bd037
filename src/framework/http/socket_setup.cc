#include "framework/http/socket_setup.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QNetworkProxy>
#include <QSslError>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>
#include <utility>

namespace acacialug::http {
namespace {

// A host that vanished without closing is noticed after 20 + 3 * 5 seconds.
constexpr int kKeepAliveIdleSeconds = 20;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

void SetOption(int descriptor, int level, int name, int value) {
  ::setsockopt(descriptor, level, name, &value, sizeof(value));
}

std::optional<tcp_info> ReadInfo(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return info;
}

}  // namespace

std::unique_ptr<QTcpSocket> MakeSocket(const TlsConfiguration& tls,
                                       std::size_t read_buffer_bytes) {
  std::unique_ptr<QTcpSocket> socket;
  if (tls) {
    auto secure = std::make_unique<QSslSocket>();
    secure->setSslConfiguration(*tls);
    socket = std::move(secure);
  } else {
    socket = std::make_unique<QTcpSocket>();
  }
  socket->setProxy(QNetworkProxy::NoProxy);
  socket->setReadBufferSize(static_cast<qint64>(read_buffer_bytes));
  return socket;
}

void SetConnectedOptions(QTcpSocket& socket) {
  const int descriptor = static_cast<int>(socket.socketDescriptor());
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

std::size_t UnsentBytes(const QTcpSocket& socket) {
  qint64 bytes = socket.bytesToWrite();
  if (const auto* secure = dynamic_cast<const QSslSocket*>(&socket)) {
    bytes += secure->encryptedBytesToWrite();
  }
  return static_cast<std::size_t>(bytes);
}

std::size_t SendAtOnce(QTcpSocket& socket, std::string_view bytes) {
  if (socket.bytesToWrite() > 0) {
    return 0;
  }
  const ssize_t sent =
      ::send(static_cast<int>(socket.socketDescriptor()), bytes.data(),
             bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
}

void SetResetOnClose(QTcpSocket& socket, bool resets) {
  const linger setting{.l_onoff = resets ? 1 : 0, .l_linger = 0};
  ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &setting, sizeof(setting));
}

void AbortWithReset(QTcpSocket& socket) {
  SetResetOnClose(socket, true);
  socket.abort();
}

EndProbe::EndProbe(const QTcpSocket& socket)
    : descriptor(::fcntl(static_cast<int>(socket.socketDescriptor()),
                         F_DUPFD_CLOEXEC,
                         0)) {}

EndProbe::~EndProbe() {
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
  }
}

bool EndProbe::EndedInOrder() const {
  const std::optional<tcp_info> info = ReadInfo(this->descriptor);
  return info && info->tcpi_state != TCP_CLOSE;
}

bool HasPeerClosed(const QTcpSocket& socket) {
  pollfd descriptor{.fd = static_cast<int>(socket.socketDescriptor()),
                    .events = POLLRDHUP,
                    .revents = 0};
  return ::poll(&descriptor, 1, 0) > 0 &&
         (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

Duration SinceLastBytes(const QTcpSocket& socket) {
  const std::optional<tcp_info> info =
      ReadInfo(static_cast<int>(socket.socketDescriptor()));
  return info ? std::chrono::milliseconds(info->tcpi_last_data_recv)
              : Duration::zero();
}

void ShutDownWriting(QTcpSocket& socket) {
  ::shutdown(static_cast<int>(socket.socketDescriptor()), SHUT_WR);
}

void IgnoreNameMismatch(QSslSocket& socket) {
  QObject::connect(&socket, &QSslSocket::sslErrors, &socket,
                   [&socket](const QList<QSslError>& errors) {
                     const bool harmless = std::all_of(
                         errors.begin(), errors.end(),
                         [](const QSslError& error) {
                           return error.error() == QSslError::HostNameMismatch;
                         });
                     if (harmless) {
                       socket.ignoreSslErrors(errors);
                     }
                   });
}

bool IsQuiet(const QTcpSocket& socket) {
  if (socket.state() != QAbstractSocket::ConnectedState ||
      socket.bytesAvailable() > 0) {
    return false;
  }
  char byte = 0;
  const ssize_t got = ::recv(static_cast<int>(socket.socketDescriptor()), &byte,
                             sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace acacialug::http
