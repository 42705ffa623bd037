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

struct TableWithSession {
  SessionTable table{{.lease = 3s, .heartbeats = AgentOptions().heartbeats}};
  TableWithSession() {
    this->table.Open(kSession, kNow);
    this->table.Greet(kSession, HelloOf(kEntry), kNow);
  }
};

const testing::Story kSessions(
    "a session table",
    {It("lets a session lapse one lease after its last renewal",
        [] {
          TableWithSession greeted;
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
     It("ends the sessions of an entry's earlier incarnation, and only those",
        [] {
          TableWithSession greeted;
          greeted.table.Open(kOther, kNow);
          CHECK(greeted.table.Greet(kOther, HelloOf(kEntry, "e2"), kNow)
                    .ended.empty());
          greeted.table.Open(SessionId(3), kNow);
          CHECK(greeted.table.Greet(SessionId(3), HelloOf(kEntry), kNow)
                    .ended.empty());  // another shard of the same incarnation
          greeted.table.Open(SessionId(4), kNow);
          CHECK(greeted.table.Greet(SessionId(4), HelloOf(kSuccessor), kNow)
                    .ended == (std::vector{kSession, SessionId(3)}));
          CHECK(greeted.table.Contains(kOther));
        }),
     // Guards against the end of the streams of a healthy entry: the entry is
     // replaced while paused, and the old process resumes and connects again.
     // Incarnations are random, so a later Hello does not mean a newer process.
     It("rejects an incarnation that was superseded before",
        [] {
          TableWithSession greeted;
          greeted.table.Close(kSession);
          greeted.table.Open(kOther, kNow);
          greeted.table.Greet(kOther, HelloOf(kSuccessor), kNow);
          greeted.table.Open(SessionId(3), kNow);
          CHECK(greeted.table.Greet(SessionId(3), HelloOf(kEntry), kNow).code ==
                ResultCode::kSuperseded);
          CHECK(greeted.table.Contains(kOther));
        }),
     // Guards against an entry that never gets a session with some agents
     // again: it is replaced while paused, and agents started since then know
     // only its successor. It resumes, connects to them first, and ends. The
     // successor, which this ended incarnation supersedes there, must not be
     // rejected for ever.
     It("accepts a superseded incarnation once the other has long been away",
        [] {
          TableWithSession greeted;
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
     It("treats a second Hello as a renewal, but rejects another name", [] {
       TableWithSession greeted;
       CHECK(greeted.table.Greet(kSession, HelloOf(kEntry), kNow + 1s).code ==
             ResultCode::kOk);
       CHECK(greeted.table.next_timer() == kNow + 4s);
       CHECK(greeted.table.Greet(kSession, HelloOf(kEntry, "e2"), kNow).code ==
             ResultCode::kBadFrame);
     })});

enum class History : std::uint8_t {
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
  History before;
  Admission expected;
};

const testing::Story kAttempts(
    "an attempt table",
    {Cases<OpenCase>(
         "that gets a start",
         {{"knows a first message", History::kNothing, Admission::kNew},
          {"knows an attempt under way", History::kOpen, Admission::kOpen},
          {"repeats a refusal", History::kRefused, Admission::kRefusedBefore},
          {"drops an attempt that has ended", History::kEnded,
           Admission::kEndedBefore},
          {"supersedes beside a newer one", History::kNewerOpen,
           Admission::kSuperseded},
          {"drops an older one that ran beside a newer one", History::kRanOlder,
           Admission::kEndedBefore},
          {"supersedes after a newer one", History::kNewerEnded,
           Admission::kSuperseded},
          {"treats a forgotten attempt as new", History::kForgotten,
           Admission::kNew}},
         [](const OpenCase& row) {
           AttemptTable table({.memory = 15s});
           const bool newer = row.before == History::kNewerOpen ||
                              row.before == History::kNewerEnded;
           const AttemptId earlier = Attempt(1, newer ? 3 : 2);
           if (row.before != History::kNothing) {
             table.Open(earlier, kSession, kNow);
           }
           if (row.before == History::kRanOlder) {
             table.Open(Attempt(1, 3), kSession, kNow);
           } else if (row.before == History::kRefused) {
             table.CloseNotRun(earlier, ResultCode::kLinkBusy, kNow);
           } else if (row.before != History::kOpen &&
                      row.before != History::kNewerOpen) {
             table.CloseEnded(earlier, kNow);
           }
           table.Expire(row.before == History::kForgotten ? kNow + 15s
                                                          : kNow + 14s);
           const auto opening = table.Open(Attempt(1, 2), kSession, kNow);
           CPPUNIT_ASSERT_EQUAL(NameOf(kAdmissionNames, row.expected),
                                NameOf(kAdmissionNames, opening.admission));
           CHECK(row.before != History::kRefused ||
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
