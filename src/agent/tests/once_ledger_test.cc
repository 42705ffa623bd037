#include <cppunit/extensions/HelperMacros.h>

#include "agent/internal/once_ledger.h"
#include "agent/tests/agent_bench.h"
#include "framework/testing/story.h"

namespace acacialug::agent {
namespace {

using protocol::OnceKind;
using protocol::Outcome;
using testing::ForEach;
using testing::It;

const Instant kNow{1000s};

protocol::Once Key(std::uint64_t key,
                   std::uint64_t fingerprint = 7,
                   OnceKind kind = OnceKind::kTicket) {
  return {.kind = kind,
          .key_high = key,
          .key_low = key,
          .fingerprint = fingerprint,
          .home = kHome,
          .claim = LogOffset(kind == OnceKind::kClaim ? key : 0)};
}

protocol::ServiceAnswer AnswerOfSize(std::size_t bytes) {
  return {.status = 200, .body = std::string(bytes, 'x')};
}

enum class Past : std::uint8_t {
  kUnseen,
  kRunning,
  kCompleted,
  kCompletedLarge,
  kUnknown,
  kReleased,
  kLookedUp,
};

struct VerdictCase {
  const char* name;
  Past past;
  OnceVerdict begin;
  OnceVerdict look_up;
};

OnceLedger LedgerAfter(Past past) {
  OnceLedger ledger({.home = kHome, .max_bytes = 1000, .max_keys = 3});
  if (past == Past::kLookedUp) {
    ledger.LookUp(Key(1), kNow);
  } else if (past != Past::kUnseen) {
    ledger.Begin(Key(1), kNow);
  }
  if (past == Past::kCompleted || past == Past::kCompletedLarge) {
    ledger.Complete(Key(1), AnswerOfSize(past == Past::kCompleted ? 10 : 2000),
                    kNow);
  } else if (past == Past::kUnknown) {
    ledger.SetUnknown(Key(1), kNow);
  } else if (past == Past::kReleased) {
    ledger.Release(Key(1));
  }
  return ledger;
}

void AssertVerdict(OnceVerdict expected, OnceVerdict verdict) {
  CPPUNIT_ASSERT_EQUAL(NameOf(kOnceVerdictNames, expected),
                       NameOf(kOnceVerdictNames, verdict));
}

const testing::Story kLedger(
    "a once ledger",
    {ForEach<VerdictCase>(
         "asked about a key",
         {{"that is unseen, runs or seals it", Past::kUnseen, OnceVerdict::kRun,
           OnceVerdict::kSealed},
          {"that runs, says so", Past::kRunning, OnceVerdict::kStillRunning,
           OnceVerdict::kStillRunning},
          {"that completed, has the answer", Past::kCompleted,
           OnceVerdict::kAnswered, OnceVerdict::kAnswered},
          {"with a large answer, knows that it completed",
           Past::kCompletedLarge, OnceVerdict::kAnswerGone,
           OnceVerdict::kAnswerGone},
          {"of unknown outcome, never runs it again", Past::kUnknown,
           OnceVerdict::kUnknown, OnceVerdict::kUnknown},
          {"that provably did not run, runs it", Past::kReleased,
           OnceVerdict::kRun, OnceVerdict::kSealed},
          {"that was sealed, never runs it", Past::kLookedUp,
           OnceVerdict::kSealed, OnceVerdict::kSealed}},
         [](const VerdictCase& row) { return std::string(row.name); },
         [](const VerdictCase& row) {
           AssertVerdict(row.begin, LedgerAfter(row.past).Begin(Key(1), kNow));
           AssertVerdict(row.look_up,
                         LedgerAfter(row.past).LookUp(Key(1), kNow));
           OnceLedger ledger = LedgerAfter(row.past);
           protocol::Once foreign = Key(1);
           foreign.home = Incarnation(501);
           AssertVerdict(OnceVerdict::kWrongHome, ledger.Begin(foreign, kNow));
           AssertVerdict(OnceVerdict::kWrongHome, ledger.LookUp(foreign, kNow));
         }),
     It("tells another request under the same key from a resubmission",
        [] {
          for (const Past past : {Past::kRunning, Past::kCompleted,
                                  Past::kUnknown, Past::kLookedUp}) {
            AssertVerdict(OnceVerdict::kKeyReused,
                          LedgerAfter(past).Begin(Key(1, 8), kNow));
          }
        }),
     It("drops the oldest answers beyond its bytes, and no key",
        [] {
          OnceLedger ledger(
              {.home = kHome, .max_bytes = 1000, .max_keys = 100});
          for (std::uint64_t key = 1; key <= 20; ++key) {
            ledger.Begin(Key(key), kNow);
            ledger.Complete(Key(key), AnswerOfSize(200), kNow);
            CPPUNIT_ASSERT(ledger.kept_bytes() <= 1000);
          }
          AssertVerdict(OnceVerdict::kAnswerGone, ledger.Begin(Key(1), kNow));
          AssertVerdict(OnceVerdict::kAnswered, ledger.Begin(Key(20), kNow));
          CPPUNIT_ASSERT_EQUAL(std::size_t{20}, ledger.keys());
        }),
     // Symptom: one order is charged twice. Sequence: many keys within the
     // window, then a late resubmission of an early one. Cause: a bounded
     // ledger that forgets its oldest key to take a new one.
     It("turns new keys away rather than forget one within the window",
        [] {
          OnceLedger ledger = LedgerAfter(Past::kCompleted);
          ledger.Begin(Key(2), kNow);
          ledger.LookUp(Key(3), kNow);
          AssertVerdict(OnceVerdict::kFull, ledger.Begin(Key(4), kNow));
          AssertVerdict(OnceVerdict::kFull, ledger.LookUp(Key(4), kNow));
          AssertVerdict(OnceVerdict::kAnswered, ledger.Begin(Key(1), kNow));
          AssertVerdict(OnceVerdict::kRun, ledger.Begin(Key(4), kNow + 24h));
        }),
     // Symptom: a call of yesterday runs again. Sequence: it completed, its
     // window passed, the key was forgotten, its caller resubmits. Cause: a
     // forgotten key looks like one never seen.
     It("refuses a claim as old as those it has forgotten",
        [] {
          OnceLedger ledger({.home = kHome, .window = 24h});
          const auto claim = [](std::uint64_t offset) {
            return Key(offset, 7, OnceKind::kClaim);
          };
          ledger.Begin(claim(50), kNow);
          ledger.Complete(claim(50), AnswerOfSize(1), kNow);
          AssertVerdict(OnceVerdict::kTooOld,
                        ledger.Begin(claim(50), kNow + 24h));
          AssertVerdict(OnceVerdict::kTooOld,
                        ledger.Begin(claim(49), kNow + 24h));
          AssertVerdict(OnceVerdict::kRun, ledger.Begin(claim(51), kNow + 24h));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ledger.kept_bytes());
        }),
     It("never lets the window of a running key pass", [] {
       OnceLedger ledger = LedgerAfter(Past::kRunning);
       AssertVerdict(OnceVerdict::kStillRunning,
                     ledger.Begin(Key(1), kNow + 48h));
     })});

protocol::StartCall CallOf(const AttemptId& attempt,
                           protocol::Once once = {},
                           Duration finish_within = 9s) {
  return {.attempt = attempt,
          .request = {.method = "POST", .target = "/charge"},
          .once = once,
          .start_within = 5s,
          .finish_within = finish_within};
}

AgentOptions Plain(std::uint32_t slots = 1) {
  return {.role = protocol::EndpointRole::kPlain,
          .slots = slots,
          .queue_limit = 1,
          .once_max_keys = 2};
}

engine::CallDone Done(const AttemptId& attempt) {
  return {.attempt = attempt, .answer = {.status = 201, .body = "done"}};
}

struct ResubmissionCase {
  const char* name;
  // What happens to the first submission, Attempt(1) under Key(1).
  std::function<void(AgentBench&)> first;
  std::optional<Outcome> failed;  // the resubmission's
  ResultCode code;
  std::size_t runs;  // of the call, over both submissions
};

const testing::Story kCalls(
    "a plain endpoint",
    {ForEach<ResubmissionCase>(
         "that gets a call again after",
         {{"it was answered, replays the answer",
           [](AgentBench& bench) { bench.Engine(Done(Attempt(1))); },
           std::nullopt, ResultCode::kOk, 1},
          {"its caller went away, replays what came later",
           [](AgentBench& bench) {
             bench.Say(protocol::Cancel{Attempt(1)});
             bench.Engine(Done(Attempt(1)));
           },
           std::nullopt, ResultCode::kOk, 1},
          {"its session was lost, replays what came later",
           [](AgentBench& bench) {
             bench.core.OnSessionClosed(kSession, bench.now);
             bench.Engine(Done(Attempt(1)));
             bench.Connect(kSession, kEntry);
           },
           std::nullopt, ResultCode::kOk, 1},
          {"its deadline passed, says that it still runs",
           [](AgentBench& bench) { bench.Pass(10s); }, Outcome::kUnknown,
           ResultCode::kStillRunning, 1},
          {"the engine failed midway, says unknown for ever",
           [](AgentBench& bench) {
             bench.Engine(engine::AttemptFailed{Attempt(1)});
           },
           Outcome::kUnknown, ResultCode::kOutcomeUnknown, 1},
          {"it never answered, says unknown for ever",
           [](AgentBench& bench) { bench.Pass(601s); }, Outcome::kUnknown,
           ResultCode::kOutcomeUnknown, 1},
          {"the engine provably did not run it, runs it",
           [](AgentBench& bench) {
             bench.Engine(engine::AttemptFailed{
                 Attempt(1), ResultCode::kEngineUnavailable, Outcome::kNotRun});
           },
           std::nullopt, ResultCode::kOk, 2}},
         [](const ResubmissionCase& row) { return std::string(row.name); },
         [](const ResubmissionCase& row) {
           AgentBench bench(Plain());
           bench.Say(CallOf(Attempt(1), Key(1)));
           row.first(bench);
           const std::size_t answers = bench.Count<protocol::CallAnswered>();
           bench.Say(CallOf(Attempt(2), Key(1)));
           CPPUNIT_ASSERT_EQUAL(row.runs, bench.Count<engine::Call>());
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                bench.Count<protocol::Refused>());
           const auto failures = bench.All<protocol::Failed>();
           if (row.failed) {
             CPPUNIT_ASSERT(failures.back().attempt == Attempt(2));
             CPPUNIT_ASSERT(failures.back().outcome == row.failed);
             CPPUNIT_ASSERT(failures.back().code == row.code);
           } else if (row.runs == 1) {
             const auto replayed = bench.All<protocol::CallAnswered>();
             CPPUNIT_ASSERT_EQUAL(answers + 1, replayed.size());
             CPPUNIT_ASSERT(replayed.back().replayed);
             CPPUNIT_ASSERT(replayed.back().answer.body == "done");
           }
         }),
     It("runs a call that it has sealed or cannot remember not at all",
        [] {
          AgentBench bench(Plain(4));
          bench.Say(protocol::LookUp{Attempt(1), Key(1)});
          CPPUNIT_ASSERT(bench.Only<protocol::Failed>().outcome ==
                         Outcome::kNotRun);
          bench.Say(CallOf(Attempt(2), Key(1)));
          CPPUNIT_ASSERT(bench.Only<protocol::Refused>().code ==
                         ResultCode::kSuperseded);
          bench.Say(CallOf(Attempt(3), Key(3)));
          bench.Say(CallOf(Attempt(4), Key(4)));  // one key too many
          CPPUNIT_ASSERT(bench.All<protocol::Failed>()[1].code ==
                         ResultCode::kOutOfBounds);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.Count<engine::Call>());
          bench.Say(protocol::LookUp{Attempt(5), Key(5)});
          CPPUNIT_ASSERT(bench.All<protocol::Failed>()[2].outcome ==
                         Outcome::kUnknown);
        }),
     // Symptom: a call runs on two starts of an agent. Sequence: the agent
     // dies after the call ran; a ticket of that start is submitted to the
     // next one. Cause: the ledger died with the start.
     It("refuses a ticket of another start, and cannot tell what became of it",
        [] {
          AgentBench bench(Plain());
          protocol::Once foreign = Key(1);
          foreign.home = Incarnation(499);
          bench.Say(CallOf(Attempt(1), foreign));
          CPPUNIT_ASSERT(bench.Only<protocol::Refused>().code ==
                         ResultCode::kTicketInvalid);
          bench.Say(protocol::LookUp{Attempt(2), foreign});
          CPPUNIT_ASSERT(bench.Only<protocol::Failed>().outcome ==
                         Outcome::kUnknown);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.Count<engine::Call>());
        }),
     It("bounds its queue and drops what cannot start in time as not run",
        [] {
          AgentBench bench(Plain());
          bench.Say(CallOf(Attempt(1)));
          bench.Say(CallOf(Attempt(2), Key(2)));
          bench.Say(CallOf(Attempt(3)));
          CPPUNIT_ASSERT(bench.Only<protocol::Refused>().code ==
                         ResultCode::kOverloaded);
          bench.Pass(5s);
          CPPUNIT_ASSERT(bench.All<protocol::Refused>()[1].code ==
                         ResultCode::kDeadlineUnreachable);
          bench.Engine(Done(Attempt(1)));
          bench.Say(CallOf(Attempt(4), Key(2)));  // the key may still run
          CPPUNIT_ASSERT(bench.All<engine::Call>()[1].attempt == Attempt(4));
        }),
     It("aborts an idempotent call whose caller is gone or too late",
        [] {
          AgentBench bench(Plain(2));
          bench.Say(CallOf(Attempt(1)));
          bench.Say(protocol::Cancel{Attempt(1)});
          CPPUNIT_ASSERT(bench.Only<engine::Abort>().attempt == Attempt(1));
          bench.Say(CallOf(Attempt(2)));
          bench.Pass(9s);
          CPPUNIT_ASSERT(bench.Only<protocol::Failed>().code ==
                         ResultCode::kDeadlineExceeded);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.Count<engine::Abort>());
          CPPUNIT_ASSERT(bench.core.held_attempts().empty());
        }),
     It("answers resubmissions while draining, and runs nothing new", [] {
       AgentBench bench(Plain());
       bench.Say(CallOf(Attempt(1), Key(1)));
       bench.core.BeginDrain(bench.now);
       CPPUNIT_ASSERT(!bench.core.drained());
       bench.Engine(Done(Attempt(1)));
       CPPUNIT_ASSERT(bench.core.drained());
       bench.Say(CallOf(Attempt(2), Key(1)));
       CPPUNIT_ASSERT(bench.All<protocol::CallAnswered>()[1].replayed);
       bench.Say(CallOf(Attempt(3), Key(2)));
       bench.Say(CallOf(Attempt(4)));
       CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.Count<protocol::Refused>());
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.Count<engine::Call>());
     })});

}  // namespace
}  // namespace acacialug::agent
