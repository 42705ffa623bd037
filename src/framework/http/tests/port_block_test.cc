#include "framework/http/tests/port_block.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QNetworkProxy>
#include <memory>
#include <set>

#include "framework/testing/story.h"

namespace acacialug::testing {
namespace {

const Story kPortBlocks(
    "a block of ports",
    {It("shares no port with another block or with outgoing connections",
        [] {
          // Guards against two test programs that start servers on one port.
          PortBlock one;
          PortBlock other;
          std::set<std::uint16_t> taken;
          for (int port = 0; port < 100; ++port) {
            CPPUNIT_ASSERT(taken.insert(one.Take()).second);
            CPPUNIT_ASSERT(taken.insert(other.Take()).second);
          }
          CPPUNIT_ASSERT(*taken.begin() > PortBlock::kFirst);
          CPPUNIT_ASSERT(*taken.rbegin() < PortBlock::kEnd);
        }),
     It("hands out no port that is in use",
        [] {
          PortBlock block;
          QTcpServer tcp;
          QUdpSocket udp;
          udp.setProxy(QNetworkProxy::NoProxy);
          const std::uint16_t first = block.Take();
          CPPUNIT_ASSERT(tcp.listen(QHostAddress::LocalHost, first + 1));
          CPPUNIT_ASSERT(udp.bind(QHostAddress::LocalHost, first + 2));
          CPPUNIT_ASSERT_EQUAL(first + 3, int{block.Take()});
        }),
     It("is free again after its owner", [] {
       auto first = std::make_unique<PortBlock>();
       const std::uint16_t port = first->Take();
       first.reset();
       CPPUNIT_ASSERT_EQUAL(port, PortBlock().Take());
     })});

}  // namespace
}  // namespace acacialug::testing
