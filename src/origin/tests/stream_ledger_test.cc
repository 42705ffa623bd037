#include "origin/stream_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"

namespace acacialug::origin {
namespace {

using acacialug::testing::It;

constexpr Instant kStart{1h};
constexpr StreamKey kStream(7);
constexpr VersionKey kFirst(1);
constexpr VersionKey kSecond(2);

StreamOrigin Origin(VersionKey version,
                    std::uint32_t attempt = 1,
                    std::uint32_t placement = 1) {
  return {.stream = kStream,
          .version = version,
          .attempt = attempt,
          .placement = placement,
          .left = 10s};
}

const acacialug::testing::Story kLedger(
    "the origins of streams",
    {It("are kept for as long as the stream may be continued",
        [] {
          StreamLedger ledger({});
          ledger.Note(Origin(kFirst), true, kStart);
          CPPUNIT_ASSERT(ledger.Find(kStream, kStart + 9s)->left ==
                         Duration(1s));
          CPPUNIT_ASSERT(!ledger.Find(kStream, kStart + 10s));
          ledger.Sweep(kStart + 10s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
        }),
     It("follow the attempt to another endpoint before its first event, in any "
        "order of the notices",
        [] {
          StreamLedger ledger({});
          ledger.Note(Origin(kSecond, 1, 2), false, kStart);
          ledger.Note(Origin(kFirst, 1, 1), false, kStart);
          CPPUNIT_ASSERT(ledger.Find(kStream, kStart)->version == kSecond);
        }),
     It("of two attempts of the same name at two versions are neither",
        [] {
          StreamLedger ledger({});
          ledger.Note(Origin(kFirst, 1), false, kStart);
          ledger.Note(Origin(kSecond, 2), false, kStart);
          CPPUNIT_ASSERT(ledger.Find(kStream, kStart)->version == VersionKey());
          ledger.Note(Origin(kSecond, 2), false, kStart);
          CPPUNIT_ASSERT(ledger.Find(kStream, kStart)->version == VersionKey());
        }),
     It("of two attempts of the same name at one version are that",
        [] {
          StreamLedger ledger({});
          ledger.Note(Origin(kFirst, 1), true, kStart);
          ledger.Note(Origin(kFirst, 2), false, kStart);
          CPPUNIT_ASSERT(ledger.Find(kStream, kStart)->version == kFirst);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.Own(kStart).size());
        }),
     It("drop the oldest when there are too many, and nothing for a lapsed one",
        [] {
          StreamLedger ledger({.max_streams = 2});
          for (std::uint64_t stream = 1; stream <= 3; ++stream) {
            StreamOrigin origin = Origin(kFirst);
            origin.stream = StreamKey(stream);
            ledger.Note(origin, false, kStart);
          }
          StreamOrigin lapsed = Origin(kFirst);
          lapsed.left = -1s;
          ledger.Note(lapsed, false, kStart);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger.size());
          CPPUNIT_ASSERT(!ledger.Find(StreamKey(1), kStart));
          CPPUNIT_ASSERT(ledger.Find(StreamKey(3), kStart));
        })});

}  // namespace
}  // namespace acacialug::origin
