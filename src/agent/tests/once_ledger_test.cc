#include "agent/internal/once_ledger.h"
#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using protocol::OnceKind;
using testing::It;
using enum OnceVerdict;

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

protocol::Once KeyOfAnotherHome() {
  protocol::Once once = Key(1);
  once.home = Incarnation(499);
  return once;
}

protocol::ServiceAnswer AnswerOfSize(std::size_t bytes) {
  return {.status = 200, .body = std::string(bytes, 'x')};
}

enum class KeyHistory : std::uint8_t {
  kUnseen,
  kRunning,
  kCompleted,
  kCompletedLarge,
  kUnknown,
  kReleased,
  kLookedUp,
};

struct VerdictCase {
  std::string name;
  KeyHistory past;
  OnceVerdict begin;
  OnceVerdict look_up;
};

OnceLedger LedgerAfter(KeyHistory past) {
  OnceLedger ledger({.home = kHome, .max_bytes = 1000, .max_keys = 3});
  if (past == KeyHistory::kLookedUp) {
    ledger.LookUp(Key(1), kNow);
  } else if (past != KeyHistory::kUnseen) {
    ledger.Begin(Key(1), kNow);
  }
  if (past == KeyHistory::kCompleted || past == KeyHistory::kCompletedLarge) {
    ledger.Complete(
        Key(1), AnswerOfSize(past == KeyHistory::kCompleted ? 10 : 2000), kNow);
  } else if (past == KeyHistory::kUnknown) {
    ledger.SetUnknown(Key(1), kNow);
  } else if (past == KeyHistory::kReleased) {
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
    {Cases<VerdictCase>(
         "queried for a key",
         {{"that is unseen, runs or seals it", KeyHistory::kUnseen, kRun,
           kSealed},
          {"that runs, reports it as running", KeyHistory::kRunning,
           kStillRunning, kStillRunning},
          {"that completed, has the answer", KeyHistory::kCompleted, kAnswered,
           kAnswered},
          {"with a large answer, knows that it completed",
           KeyHistory::kCompletedLarge, kAnswerGone, kAnswerGone},
          {"of unknown outcome, never runs it again", KeyHistory::kUnknown,
           kUnknown, kUnknown},
          {"that provably did not run, runs it", KeyHistory::kReleased, kRun,
           kSealed},
          {"that was sealed, never runs it", KeyHistory::kLookedUp, kSealed,
           kSealed}},
         [](const VerdictCase& row) {
           AssertVerdict(row.begin, LedgerAfter(row.past).Begin(Key(1), kNow));
           AssertVerdict(row.look_up,
                         LedgerAfter(row.past).LookUp(Key(1), kNow));
           OnceLedger ledger = LedgerAfter(row.past);
           AssertVerdict(kWrongHome, ledger.Begin(KeyOfAnotherHome(), kNow));
           AssertVerdict(kWrongHome, ledger.LookUp(KeyOfAnotherHome(), kNow));
         }),
     It("distinguishes another request under the same key from a resubmission",
        [] {
          for (const KeyHistory past :
               {KeyHistory::kRunning, KeyHistory::kCompleted,
                KeyHistory::kUnknown, KeyHistory::kLookedUp}) {
            AssertVerdict(kKeyReused, LedgerAfter(past).Begin(Key(1, 8), kNow));
          }
        }),
     It("drops the oldest answers beyond its byte limit, and no key",
        [] {
          OnceLedger ledger(
              {.home = kHome, .max_bytes = 1000, .max_keys = 100});
          for (std::uint64_t key = 1; key <= 20; ++key) {
            ledger.Begin(Key(key), kNow);
            ledger.Complete(Key(key), AnswerOfSize(200), kNow);
            CHECK(ledger.kept_bytes() <= 1000);
          }
          AssertVerdict(kAnswerGone, ledger.Begin(Key(1), kNow));
          AssertVerdict(kAnswered, ledger.Begin(Key(20), kNow));
          CHECK(ledger.keys() == 20);
        }),
     // Guards against a call that runs twice: many keys arrive within the
     // window, and then an early one is submitted again. A bounded ledger must
     // not forget its oldest key to accept a new one.
     It("rejects new keys rather than forget a key within the window",
        [] {
          OnceLedger ledger = LedgerAfter(KeyHistory::kCompleted);
          ledger.Begin(Key(2), kNow);
          ledger.LookUp(Key(3), kNow);
          AssertVerdict(kFull, ledger.Begin(Key(4), kNow));
          AssertVerdict(kFull, ledger.LookUp(Key(4), kNow));
          AssertVerdict(kAnswered, ledger.Begin(Key(1), kNow));
          AssertVerdict(kRun, ledger.Begin(Key(4), kNow + 24h));
        }),
     // Guards against a call that runs again after a day: it completed, its
     // window passed, the key was forgotten, and its caller submits it again. A
     // forgotten key looks like a key that was never seen.
     It("refuses a claim that is no newer than a forgotten claim",
        [] {
          OnceLedger ledger({.home = kHome, .window = 24h});
          const auto claim = [](std::uint64_t offset) {
            return Key(offset, 7, OnceKind::kClaim);
          };
          ledger.Begin(claim(50), kNow);
          ledger.Complete(claim(50), AnswerOfSize(1), kNow);
          AssertVerdict(kTooOld, ledger.Begin(claim(50), kNow + 24h));
          AssertVerdict(kTooOld, ledger.Begin(claim(49), kNow + 24h));
          AssertVerdict(kRun, ledger.Begin(claim(51), kNow + 24h));
          CHECK(ledger.kept_bytes() == 0);
        }),
     // Guards against a ticket that runs twice, a day apart: its key is
     // forgotten a day after its use, and it comes again through an entry whose
     // clock is behind and which finds it young. The clocks of the entries
     // alone do not keep an old ticket away.
     It("refuses a ticket that was issued no later than a forgotten ticket",
        [] {
          OnceLedger ledger({.home = kHome, .window = 24h});
          ledger.Begin(Key(50), kNow);
          ledger.Complete(Key(50), AnswerOfSize(1), kNow);
          AssertVerdict(kTooOld, ledger.Begin(Key(50), kNow + 24h));
          AssertVerdict(kTooOld, ledger.LookUp(Key(49), kNow + 24h));
          AssertVerdict(kRun, ledger.Begin(Key(51), kNow + 24h));
        }),
     It("never lets the window of a running key pass", [] {
       OnceLedger ledger = LedgerAfter(KeyHistory::kRunning);
       AssertVerdict(kStillRunning, ledger.Begin(Key(1), kNow + 48h));
     })});

const testing::Story kCalls(
    "a plain endpoint",
    {TraceCases(
         "that gets a call again after",
         {{"it was answered, replays the answer", Plain(),
           Calls(1, Key(1)) + CallEnds(1) + Calls(2, Key(1)),
           "call 1, answered 1 yes, answered 2 again yes"},
          {"its caller disconnected, replays the later answer", Plain(),
           Calls(1, Key(1)) + Cancels(1) + CallEnds(1) + Calls(2, Key(1)),
           "call 1, answered 2 again yes"},
          {"its session was lost, replays the later answer", Plain(),
           Calls(1, Key(1)) + Drops() + CallEnds(1) +
               Connects(kSession, kEntry) + Calls(2, Key(1)),
           "call 1, welcome, answered 2 again yes"},
          {"its deadline passed, reports that it still runs", Plain(),
           Calls(1, Key(1)) + Advances(9s) + Calls(2, Key(1)),
           "call 1, failed 1 deadline_exceeded unknown, "
           "failed 2 still_running unknown",
           1},
          {"the engine failed midway, always reports an unknown outcome",
           Plain(),
           Calls(1, Key(1)) + Fails(1) + Calls(2, Key(1)) + Advances(1h) +
               LooksUp(3, Key(1)),
           "call 1, failed 1 engine_failed unknown, "
           "failed 2 outcome_unknown unknown, failed 3 outcome_unknown "
           "unknown"},
          {"it never answered, always reports an unknown outcome", Plain(),
           Calls(1, Key(1)) + Advances(601s) + Calls(2, Key(1)),
           "call 1, failed 1 deadline_exceeded unknown, abort 1, "
           "failed 2 outcome_unknown unknown"},
          {"the engine provably did not run it, runs it", Plain(),
           Calls(1, Key(1)) + Fails(1, Outcome::kNotRun) + Calls(2, Key(1)),
           "call 1, failed 1 engine_failed not_run, call 2", 1},
          {"it was dropped from the queue, runs it", Plain(),
           Calls(1) + Calls(2, Key(2)) + Calls(3) + Advances(5s) + CallEnds(1) +
               Calls(4, Key(2)),
           "call 1, refused 3 overloaded, refused 2 deadline_unreachable, "
           "answered 1 yes, call 4",
           1},
          {"a lookup found nothing, never runs it", Plain(),
           LooksUp(1, Key(1)) + Calls(2, Key(1)),
           "failed 1 superseded not_run, refused 2 superseded"},
          {"its first with another request, runs neither twice", Plain(),
           Calls(1, Key(1)) + Calls(2, Key(1, 8)) + LooksUp(3, Key(1, 8)),
           "call 1, failed 2 key_reused not_run, failed 3 key_reused not_run",
           1}}),
     TraceCases("that leaves",
                {{"answers resubmissions and runs nothing new", Plain(),
                  Calls(1, Key(1)) + Drains() + CallEnds(1) + Calls(2, Key(1)) +
                      Calls(3, Key(2)) + Calls(4),
                  "call 1, leaving, answered 1 yes, answered 2 again yes, "
                  "refused 3 draining, refused 4 draining"}}),
     TraceCases(
         "that cannot know",
         {// Guards against a call that runs in two incarnations of an agent:
          // the agent dies after the call ran, and a ticket of that incarnation
          // comes to the next one, which does not have the ledger of the first.
          {"a ticket of another incarnation, refuses it and reports it as "
           "unknown",
           Plain(),
           Calls(1, KeyOfAnotherHome()) + LooksUp(2, KeyOfAnotherHome()),
           "refused 1 ticket_invalid, failed 2 ticket_invalid unknown"},
          {"a key beyond its limit, does not run it", Plain(4),
           Calls(1, Key(1)) + Calls(2, Key(2)) + Calls(3, Key(3)) +
               LooksUp(4, Key(4)),
           "call 1, call 2, failed 3 out_of_bounds not_run, "
           "failed 4 out_of_bounds unknown",
           2}}),
     TraceCases("with an idempotent call",
                {{"aborts it when its caller is gone", Plain(),
                  Calls(1) + Cancels(1), "call 1, abort 1"},
                 {"aborts it at its deadline", Plain(), Calls(1) + Advances(9s),
                  "call 1, failed 1 deadline_exceeded unknown, abort 1"}})});

}  // namespace
}  // namespace acacialug::agent
