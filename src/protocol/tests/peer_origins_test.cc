#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "protocol/message_codec.h"

namespace acacialug::protocol {
namespace {

using acacialug::testing::It;

PeerOrigins Full() {
  PeerOrigins message{.sender = "frontend-hall-a-1", .kept = {1}};
  message.queries = {2, 3};
  message.unknown = {4};
  message.known.push_back({.stream_key = 5, .version_key = 6});
  while (message.notices.size() < kMaxPeerOriginsRows - 5) {
    message.notices.push_back({.stream_key = message.notices.size(),
                               .version_key = 7,
                               .attempt = 8,
                               .placement = 9,
                               .left_ms = 28'000});
  }
  return message;
}

const acacialug::testing::Story kStory(
    "a message about streams' origins",
    {It("decodes unchanged, and fits a datagram when it is full",
        [] {
          const std::string datagram = Encode(Full());
          CPPUNIT_ASSERT(datagram.size() <= kMaxDatagramBytes);
          const Result<PeerOrigins> read = DecodePeerOrigins(datagram);
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT_EQUAL(datagram, Encode(*read));
          CPPUNIT_ASSERT_EQUAL(std::uint32_t{28'000}, read->notices[0].left_ms);
        }),
     It("is distinguished from a heartbeat, which is none",
        [] {
          CPPUNIT_ASSERT(IsPeerOrigins(Encode(Full())));
          CPPUNIT_ASSERT(!IsPeerOrigins(Encode(PeerHeartbeat{})));
          CPPUNIT_ASSERT(!IsPeerOrigins(""));
          CPPUNIT_ASSERT(!DecodePeerOrigins(Encode(PeerHeartbeat{})).ok());
          CPPUNIT_ASSERT(!DecodePeerHeartbeat(Encode(Full())).ok());
        }),
     It("with more rows than a datagram holds is refused",
        [] {
          PeerOrigins message = Full();
          message.queries.push_back(1);
          CPPUNIT_ASSERT(!DecodePeerOrigins(Encode(message)).ok());
        }),
     It("that is truncated anywhere is refused", [] {
       const std::string datagram = Encode(Full());
       for (std::size_t size = 0; size < datagram.size(); ++size) {
         CPPUNIT_ASSERT(!DecodePeerOrigins(datagram.substr(0, size)).ok());
       }
     })});

}  // namespace
}  // namespace acacialug::protocol
