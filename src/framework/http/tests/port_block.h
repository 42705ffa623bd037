#ifndef FRAMEWORK_HTTP_TESTS_PORT_BLOCK_H_
#define FRAMEWORK_HTTP_TESTS_PORT_BLOCK_H_

#include <cppunit/TestAssert.h>

#include <QNetworkProxy>
#include <QTcpServer>
#include <QUdpSocket>
#include <cstdint>

namespace acacialug::testing {

// Ports of 127.0.0.1 for servers whose ports must be known before they listen.
// A port that the system chose can be taken between the probe and the server's
// start, by any program beside this one. These are below the range from which
// Linux chooses by default, and a block belongs to one owner at a time: it
// listens on the block's first port. Not thread safe.
class PortBlock {
 public:
  static constexpr std::uint16_t kFirst = 10240;
  static constexpr std::uint16_t kSize = 512;
  static constexpr std::uint16_t kEnd = 32768;

  // Fails the test when every block has an owner.
  PortBlock() {
    this->claim.setProxy(QNetworkProxy::NoProxy);
    for (std::uint16_t base = kFirst; base < kEnd; base += kSize) {
      if (this->claim.listen(QHostAddress::LocalHost, base)) {
        return;
      }
    }
    CPPUNIT_FAIL("every block of ports is taken");
  }

  // The next port on which TCP and UDP are free, in turn over the block. Fails
  // the test when there is none.
  std::uint16_t Take() {
    for (std::uint16_t tries = 1; tries < kSize; ++tries) {
      this->last = this->last % (kSize - 1) + 1;
      const std::uint16_t port = this->claim.serverPort() + this->last;
      QTcpServer tcp;
      QUdpSocket udp;
      // Otherwise Qt asks the system for a proxy, on a thread of its own.
      tcp.setProxy(QNetworkProxy::NoProxy);
      udp.setProxy(QNetworkProxy::NoProxy);
      if (tcp.listen(QHostAddress::LocalHost, port) &&
          udp.bind(QHostAddress::LocalHost, port)) {
        return port;
      }
    }
    CPPUNIT_FAIL("no port of the block is free");
    return 0;
  }

 private:
  QTcpServer claim;
  std::uint16_t last = 0;  // offset of the port that was handed out last
};

}  // namespace acacialug::testing

#endif  // FRAMEWORK_HTTP_TESTS_PORT_BLOCK_H_
