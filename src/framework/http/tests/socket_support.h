#ifndef FRAMEWORK_HTTP_TESTS_SOCKET_SUPPORT_H_
#define FRAMEWORK_HTTP_TESTS_SOCKET_SUPPORT_H_

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace acacialug::testing {

// Far beyond what any wait takes: it only ends a test that hangs.
inline constexpr std::chrono::seconds kHangLimit{20};

// Runs the event loop until `done`; fails the test after kHangLimit.
inline void WaitUntil(const std::string& what,
                      const std::function<bool()>& done) {
  const QDeadlineTimer deadline(kHangLimit);
  QEventLoop loop;
  QTimer wake;
  wake.start(std::chrono::milliseconds(5));
  while (!done()) {
    CPPUNIT_ASSERT_MESSAGE("waited in vain: " + what, !deadline.hasExpired());
    loop.processEvents(QEventLoop::WaitForMoreEvents);
  }
}

inline std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// A peer that sends and receives bare bytes.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : socket(new QTcpSocket) {
    this->socket->connectToHost(QHostAddress::LocalHost, port);
    CPPUNIT_ASSERT(this->socket->waitForConnected());
    this->Watch();
  }
  explicit RawPeer(QTcpSocket* accepted) : socket(accepted) { this->Watch(); }
  ~RawPeer() { delete this->socket; }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void Send(std::string_view bytes) {
    this->socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    this->socket->flush();
  }
  const std::string& Await(const std::string& text) {
    WaitUntil(text + " in <" + this->received + ">",
              [&] { return this->received.find(text) != std::string::npos; });
    return this->received;
  }
  const std::string& AwaitClose() {
    WaitUntil("close after <" + this->received + ">",
              [this] { return this->closed; });
    return this->received;
  }

  QTcpSocket* const socket;
  std::string received;
  bool closed = false;

 private:
  void Watch() {
    QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket,
                     [this] { this->Read(); });
    QObject::connect(this->socket, &QTcpSocket::disconnected, this->socket,
                     [this] {
                       this->Read();
                       this->closed = true;
                     });
  }
  void Read() {
    if (this->socket->isReadable()) {
      this->received += this->socket->readAll().toStdString();
    }
  }
};

// A server of which the test plays the other side by hand.
class RawServer {
 public:
  RawServer() {
    CPPUNIT_ASSERT(this->listener.listen(QHostAddress::LocalHost));
  }
  std::uint16_t port() const { return this->listener.serverPort(); }

  std::unique_ptr<RawPeer> Accept() {
    WaitUntil("a connection",
              [this] { return this->listener.hasPendingConnections(); });
    QTcpSocket* const socket = this->listener.nextPendingConnection();
    socket->setParent(nullptr);
    return std::make_unique<RawPeer>(socket);
  }

  QTcpServer listener;
};

}  // namespace acacialug::testing

#endif  // FRAMEWORK_HTTP_TESTS_SOCKET_SUPPORT_H_
