#include "once/work_key.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/global/types/instant.h"
#include "framework/testing/story.h"

namespace acacialug::once {
namespace {

using testing::ForEach;
using testing::It;

// 0x018f00000000 ms = 1713584832512 ms
constexpr char kKey[] = "018f0000-0000-7abc-8def-0123456789ab";
constexpr WallMilliseconds kMade{0x018f00000000};
constexpr WallMilliseconds kWindow = 24h;
constexpr WallMilliseconds kSkew = 5min;

struct KeyRow {
  std::string name;
  std::string key;
  WallMilliseconds now;
  ResultCode code;
};

const testing::Story kWorkKey(
    "a caller's key",
    {ForEach<KeyRow>(
         "that is",
         {{"fresh is taken", kKey, kMade, ResultCode::kOk},
          {"at the window's end is taken", kKey, kMade + kWindow,
           ResultCode::kOk},
          {"older than the window is refused", kKey,
           kMade + kWindow + WallMilliseconds(1), ResultCode::kKeyTooOld},
          {"a little ahead of our clock is taken", kKey, kMade - kSkew,
           ResultCode::kOk},
          {"far ahead of our clock is refused", kKey,
           kMade - kSkew - WallMilliseconds(1), ResultCode::kInvalidHeader},
          {"a UUID of version 4 is refused",
           "018f0000-0000-4abc-8def-0123456789ab", kMade,
           ResultCode::kInvalidHeader},
          {"no UUID is refused", "order-17", kMade, ResultCode::kInvalidHeader},
          {"empty is refused", "", kMade, ResultCode::kInvalidHeader}},
         [](const KeyRow& row) { return row.name; },
         [](const KeyRow& row) {
           const Status status =
               CheckCallerKey(row.key, row.now, kWindow, kSkew);
           CPPUNIT_ASSERT(
               row.code ==
               (status.ok() ? ResultCode::kOk : status.error().result_code()));
         }),
     It("names other work for another caller, service or split of both", [] {
       const WorkKey key = MakeWorkKey(CallerName("ab"), ServiceName("c"), "k");
       CPPUNIT_ASSERT(key ==
                      MakeWorkKey(CallerName("ab"), ServiceName("c"), "k"));
       CPPUNIT_ASSERT(key !=
                      MakeWorkKey(CallerName("a"), ServiceName("bc"), "k"));
       CPPUNIT_ASSERT(key !=
                      MakeWorkKey(CallerName("ab"), ServiceName("c"), "l"));
     })});

const testing::Story kTicket(
    "a ticket",
    {It("reads back from its text",
        [] {
          RandomSource random(3);
          const Ticket ticket = IssueTicket(
              {.endpoint = EndpointId("a:b"), .agent = Incarnation(9)}, kMade,
              random);
          CPPUNIT_ASSERT(ParseTicket(EncodeTicket(ticket)) == ticket);
        }),
     // Guards against running a ticket twice, a day apart. The agent kept
     // running, and its ledger dropped the key after its window. The age of a
     // ticket could not be determined.
     It("is refused when its home may have forgotten it",
        [] {
          RandomSource random(3);
          const Ticket ticket = IssueTicket({}, kMade, random);
          const auto check = [&ticket](WallMilliseconds now) {
            const Status status = CheckTicketAge(ticket, now, kWindow, kSkew);
            return status.ok() ? ResultCode::kOk : status.error().result_code();
          };
          CPPUNIT_ASSERT(ResultCode::kOk == check(kMade + kWindow));
          CPPUNIT_ASSERT(ResultCode::kKeyTooOld ==
                         check(kMade + kWindow + WallMilliseconds(1)));
          CPPUNIT_ASSERT(ResultCode::kTicketInvalid ==
                         check(kMade - kSkew - WallMilliseconds(1)));
        }),
     It("does not read from any other text", [] {
       for (const char* text :
            {"", ":", "::", "12:3:x", "00000000000000010000000000000002:3:",
             "00000000000000010000000000000002:z:a"}) {
         CPPUNIT_ASSERT_MESSAGE(text, !ParseTicket(text));
       }
     })});

}  // namespace
}  // namespace acacialug::once
