#include "agent/internal/attempt_table.h"
#include "agent/internal/session_table.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using testing::It;

constexpr SessionId kOther{2};
constexpr Incarnation kSuccessor{101};
protocol::Hello HelloOf(Incarnation incarnation, const char* id = "e1") {
  return {.entry = EntryId(id), .incarnation = incarnation};
}

protocol::Renew RenewOf(Incarnation incarnation) {
  return {.incarnation = incarnation};
}

struct Greeted {
  SessionTable table{{.lease = 3s, .heartbeats = AgentOptions().heartbeats}};
  Greeted() {
    this->table.Open(kSession, kNow);
    this->table.Greet(kSession, HelloOf(kEntry), kNow);
  }
};

const testing::Story kSessions(
    "a session table",
    {It("lets a session lapse one lease after its last renewal",
        [] {
          Greeted greeted;
          CHECK(greeted.table.Renew(kSession, RenewOf(kEntry), kNow + 2s));
          CHECK(greeted.table.Expire(kNow + 4999ms).empty());
          CHECK(greeted.table.next_timer() == kNow + 5s);
          CHECK(greeted.table.Expire(kNow + 5s) == std::vector{kSession});
          CHECK(!greeted.table.Renew(kSession, RenewOf(kEntry), kNow + 5s));
        }),
     It("lets a connection without a Hello lapse too",
        [] {
          SessionTable table(
              {.lease = 3s, .heartbeats = AgentOptions().heartbeats});
          table.Open(kSession, kNow);
          CHECK(!table.IncarnationOf(kSession));
          CHECK(table.Expire(kNow + 3s).size() == 1);
        }),
     It("ends the sessions of an entry's earlier start, and only those",
        [] {
          Greeted greeted;
          greeted.table.Open(kOther, kNow);
          CHECK(greeted.table.Greet(kOther, HelloOf(kEntry, "e2"), kNow)
                    .ended.empty());
          greeted.table.Open(SessionId(3), kNow);
          CHECK(greeted.table.Greet(SessionId(3), HelloOf(kEntry), kNow)
                    .ended.empty());  // another shard of the same start
          greeted.table.Open(SessionId(4), kNow);
          CHECK(greeted.table.Greet(SessionId(4), HelloOf(kSuccessor), kNow)
                    .ended == (std::vector{kSession, SessionId(3)}));
          CHECK(greeted.table.Contains(kOther));
        }),
     // Symptom: the streams of a healthy entry end. Sequence: the entry is
     // replaced while paused; the old process wakes and connects again.
     // Cause: incarnations are random, a later Hello is not a newer process.
     It("turns away a start that was superseded before",
        [] {
          Greeted greeted;
          greeted.table.Close(kSession);
          greeted.table.Open(kOther, kNow);
          greeted.table.Greet(kOther, HelloOf(kSuccessor), kNow);
          greeted.table.Open(SessionId(3), kNow);
          CHECK(greeted.table.Greet(SessionId(3), HelloOf(kEntry), kNow).code ==
                ResultCode::kSuperseded);
          CHECK(greeted.table.Contains(kOther));
        }),
     // Symptom: an entry never got a session with some agents again. Sequence:
     // it was replaced while paused; agents started since knew its successor
     // only; it woke, met them first now, and ended. Cause: the successor,
     // superseded by a start that is gone, was turned away for ever.
     It("takes a superseded start back once the other has long been away",
        [] {
          Greeted greeted;
          const auto greet = [&](std::uint64_t session, Incarnation start,
                                 Duration after) {
            greeted.table.Open(SessionId(session), kNow + after);
            const ResultCode code =
                greeted.table
                    .Greet(SessionId(session), HelloOf(start), kNow + after)
                    .code;
            if (code != ResultCode::kOk) {
              greeted.table.Close(SessionId(session));
            }
            return code;
          };
          CHECK(greet(2, kSuccessor, 1s) == ResultCode::kOk);
          CHECK(greet(3, kEntry, 60s) == ResultCode::kSuperseded);
          greeted.table.Close(SessionId(2));
          CHECK(greet(4, kEntry, 61s) == ResultCode::kSuperseded);
          CHECK(greet(5, kEntry, 75s) == ResultCode::kSuperseded);
          CHECK(greet(6, kEntry, 76s) == ResultCode::kOk);
          CHECK(greet(7, kSuccessor, 77s) == ResultCode::kSuperseded);
        }),
     It("takes a second Hello as a renewal, but not another name", [] {
       Greeted greeted;
       CHECK(greeted.table.Greet(kSession, HelloOf(kEntry), kNow + 1s).code ==
             ResultCode::kOk);
       CHECK(greeted.table.next_timer() == kNow + 4s);
       CHECK(greeted.table.Greet(kSession, HelloOf(kEntry, "e2"), kNow).code ==
             ResultCode::kBadFrame);
     })});

enum class Before : std::uint8_t {
  kNothing,
  kOpen,
  kRefused,
  kEnded,
  kNewerOpen,
  kNewerEnded,
  kRanOlder,
  kForgotten,
};

struct OpenCase {
  std::string name;
  Before before;
  Admission expected;
};

const testing::Story kAttempts(
    "an attempt table",
    {Cases<OpenCase>(
         "that gets a start",
         {{"knows a first message", Before::kNothing, Admission::kNew},
          {"knows an attempt under way", Before::kOpen, Admission::kOpen},
          {"repeats a refusal", Before::kRefused, Admission::kRefusedBefore},
          {"drops what is over", Before::kEnded, Admission::kEndedBefore},
          {"supersedes beside a newer one", Before::kNewerOpen,
           Admission::kSuperseded},
          {"drops an older one that ran beside a newer one", Before::kRanOlder,
           Admission::kEndedBefore},
          {"supersedes after a newer one", Before::kNewerEnded,
           Admission::kSuperseded},
          {"takes a forgotten one as new", Before::kForgotten,
           Admission::kNew}},
         [](const OpenCase& row) {
           AttemptTable table({.memory = 15s});
           const bool newer = row.before == Before::kNewerOpen ||
                              row.before == Before::kNewerEnded;
           const AttemptId earlier = Attempt(1, newer ? 3 : 2);
           if (row.before != Before::kNothing) {
             table.Open(earlier, kSession, kNow);
           }
           if (row.before == Before::kRanOlder) {
             table.Open(Attempt(1, 3), kSession, kNow);
           } else if (row.before == Before::kRefused) {
             table.CloseNotRun(earlier, ResultCode::kLinkBusy, kNow);
           } else if (row.before != Before::kOpen &&
                      row.before != Before::kNewerOpen) {
             table.CloseEnded(earlier, kNow);
           }
           table.Expire(row.before == Before::kForgotten ? kNow + 15s
                                                         : kNow + 14s);
           const auto opening = table.Open(Attempt(1, 2), kSession, kNow);
           CPPUNIT_ASSERT_EQUAL(NameOf(kAdmissionNames, row.expected),
                                NameOf(kAdmissionNames, opening.admission));
           CHECK(row.before != Before::kRefused ||
                 opening.code == ResultCode::kLinkBusy);
         }),
     It("names the older attempt that a newer one replaces, once",
        [] {
          AttemptTable table({});
          table.Open(Attempt(1, 1), kSession, kNow);
          CHECK(table.Open(Attempt(1, 2), kSession, kNow).replaced ==
                Attempt(1, 1));
          table.CloseEnded(Attempt(1, 1), kNow);
          CHECK(table.Open(Attempt(1, 2), kSession, kNow).admission ==
                Admission::kOpen);
          CHECK(table.OpenOf(kSession) == Attempts{Attempt(1, 2)});
        }),
     It("follows an attempt to its entry's next session",
        [] {
          AttemptTable table({});
          table.Open(Attempt(1), kSession, kNow);
          table.Open(Attempt(1), kOther, kNow);
          CHECK(table.OpenOf(kSession).empty());
          CHECK(table.SessionOf(Attempt(1)) == kOther);
        }),
     It("stays within its bound", [] {
       AttemptTable table({.max_remembered = 10});
       for (std::uint64_t request = 1; request <= 100; ++request) {
         table.Open(Attempt(request), kSession, kNow);
         table.CloseEnded(Attempt(request), kNow);
       }
       CHECK(table.remembered() == 10);
     })});

}  // namespace
}  // namespace acacialug::agent
