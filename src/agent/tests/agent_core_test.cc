#include "agent/agent_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>

#include "agent/tests/agent_bench.h"
#include "framework/testing/story.h"

namespace acacialug::agent {
namespace {

using protocol::EndpointRole;
using protocol::Outcome;
using protocol::Phase;
using testing::ForEach;
using testing::It;
using testing::Section;

AgentOptions Decoder() {
  return {.role = EndpointRole::kDecode,
          .kv_tokens = 1000,
          .slots = 4,
          .reservation = ReservationPolicy::kHold};
}

protocol::Reserve ReserveFor(const AttemptId& attempt,
                             std::uint64_t kv_tokens = 100) {
  return {.attempt = attempt, .kv_tokens = kv_tokens, .start_within = 1s};
}

protocol::StartDecode StreamOf(const AttemptId& attempt,
                               std::uint32_t window = 8) {
  return {.attempt = attempt,
          .generation = Generation(),
          .kv = {.transfer_params = "{}", .tokens = 90, .bytes = 900},
          .kv_tokens = 100,
          .window_chunks = window};
}

protocol::StartPrefill PrefillOf(const AttemptId& attempt,
                                 std::uint64_t tokens = 2000,
                                 Duration finish_within = 1s) {
  return {.attempt = attempt,
          .generation = Generation(),
          .prompt_tokens = tokens,
          .finish_within = finish_within};
}

const testing::Story kPaths(
    "an agent",
    {It("streams an answer under a reservation and frees its memory",
        [] {
          AgentBench bench(Decoder());
          bench.Say(ReserveFor(Attempt(1)));
          CPPUNIT_ASSERT(bench.Only<protocol::Reserved>().attempt ==
                         Attempt(1));
          CPPUNIT_ASSERT_EQUAL(
              std::uint64_t{900},
              bench.Only<protocol::Reserved>().load.free_kv_tokens);
          bench.Say(StreamOf(Attempt(1)));
          CPPUNIT_ASSERT(bench.Only<engine::Decode>().attempt == Attempt(1));
          bench.Engine(engine::Text{Attempt(1), "a", 1});
          bench.Engine(engine::Text{Attempt(1), "b", 1});
          bench.Engine(engine::StreamDone{Attempt(1)});
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.Count<protocol::Chunk>());
          CPPUNIT_ASSERT(bench.All<protocol::Chunk>()[1].sequence ==
                         SequenceNumber(1));
          CPPUNIT_ASSERT(bench.Only<protocol::Ended>().chunks ==
                         SequenceNumber(2));
          CPPUNIT_ASSERT_EQUAL(
              std::uint64_t{1000},
              bench.Only<protocol::Ended>().load.free_kv_tokens);
          CPPUNIT_ASSERT(bench.core.held_attempts().empty());
        }),
     It("prefills, keeps the export for its lifetime and then frees it",
        [] {
          AgentBench bench({.role = EndpointRole::kPrefill});
          bench.Say(PrefillOf(Attempt(1)));
          CPPUNIT_ASSERT(bench.Only<engine::Prefill>().attempt == Attempt(1));
          bench.Pass(100ms);
          bench.Engine(engine::PrefillDone{.attempt = Attempt(1),
                                           .kv = {.tokens = 2000}});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000},
                               bench.Only<protocol::Prefilled>().kv.tokens);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               bench.core.held_attempts().size());
          bench.Pass(800ms);
          CPPUNIT_ASSERT(bench.Only<engine::Abort>().attempt == Attempt(1));
          CPPUNIT_ASSERT(bench.core.held_attempts().empty());
        }),
     It("answers a plain call", [] {
       AgentBench bench({.role = EndpointRole::kPlain});
       bench.Say(protocol::StartCall{.attempt = Attempt(1),
                                     .request = {.method = "GET"},
                                     .start_within = 1s,
                                     .finish_within = 1s});
       CPPUNIT_ASSERT(bench.Only<engine::Call>().attempt == Attempt(1));
       bench.Engine(
           engine::CallDone{.attempt = Attempt(1), .answer = {.status = 200}});
       const auto answered = bench.Only<protocol::CallAnswered>();
       CPPUNIT_ASSERT_EQUAL(200, int{answered.answer.status});
       CPPUNIT_ASSERT(!answered.replayed);
       CPPUNIT_ASSERT(bench.core.held_attempts().empty());
     })});

protocol::StartCall PlainCall(const AttemptId& attempt) {
  return {.attempt = attempt,
          .request = {.method = "GET"},
          .start_within = 9s,
          .finish_within = 9s};
}

// Something that one attempt holds at an agent of the right role.
struct Holding {
  const char* name;
  AgentOptions options;
  std::function<void(AgentBench&, const AttemptId&)> make;
  std::size_t aborts;  // that freeing it takes
};

const std::vector<Holding> kHoldings = {
    {"a reservation", Decoder(),
     [](AgentBench& bench, const AttemptId& attempt) {
       bench.Say(ReserveFor(attempt));
     },
     0},
    {"a stream", Decoder(),
     [](AgentBench& bench, const AttemptId& attempt) {
       bench.Say(ReserveFor(attempt));
       bench.Say(StreamOf(attempt));
     },
     1},
    {"a prefill",
     {.role = EndpointRole::kPrefill},
     [](AgentBench& bench, const AttemptId& attempt) {
       bench.Say(PrefillOf(attempt, 100, 9s));
     },
     1},
    {"an export",
     {.role = EndpointRole::kPrefill, .export_lifetime = 9s},
     [](AgentBench& bench, const AttemptId& attempt) {
       bench.Say(PrefillOf(attempt, 100, 9s));
       bench.Engine(engine::PrefillDone{.attempt = attempt});
     },
     1},
    {"a call",
     {.role = EndpointRole::kPlain},
     [](AgentBench& bench, const AttemptId& attempt) {
       bench.Say(PlainCall(attempt));
     },
     1},
};

// Symptom of each row: memory or a slot stays taken for nobody.
struct EndCase {
  const char* name;
  std::function<void(AgentBench&)> end;  // of Attempt(1)
};

const std::vector<EndCase> kEnds = {
    {"its entry cancels it, twice",
     [](AgentBench& bench) {
       bench.Say(protocol::Cancel{Attempt(1)});
       bench.Say(protocol::Cancel{Attempt(1)});
     }},
    {"its session is closed",
     [](AgentBench& bench) {
       bench.core.OnSessionClosed(kSession, bench.now);
     }},
    {"its session is not renewed",
     [](AgentBench& bench) { bench.Pass(3s, false); }},
    {"the agent wakes from a pause, and the renewal comes only then",
     [](AgentBench& bench) {
       bench.Freeze(4s);
       bench.Say(protocol::Renew{.incarnation = kEntry});
     }},
    {"its entry is replaced",
     [](AgentBench& bench) { bench.Connect(SessionId(2), Incarnation(101)); }},
    {"a newer attempt comes and is cancelled",
     [](AgentBench& bench) { bench.Say(protocol::Cancel{Attempt(1, 2)}); }},
    {"its connection breaks the protocol",
     [](AgentBench& bench) {
       bench.Say(protocol::Renew{.incarnation = Incarnation(9)});
     }},
    {"the drain's grace is over",
     [](AgentBench& bench) {
       bench.core.BeginDrain(bench.now);
       bench.Freeze(60s);
       bench.core.OnTimer(bench.now);
     }},
};

Section FreedWhen(const Holding& holding) {
  return ForEach<EndCase>(
      std::string(holding.name) + " is freed when", kEnds,
      [](const EndCase& row) { return std::string(row.name); },
      [holding](const EndCase& row) {
        AgentBench bench(holding.options);
        holding.make(bench, Attempt(1));
        CPPUNIT_ASSERT(bench.core.held_attempts() == std::vector{Attempt(1)});
        row.end(bench);
        CPPUNIT_ASSERT(bench.core.held_attempts().empty());
        CPPUNIT_ASSERT_EQUAL(holding.aborts, bench.Count<engine::Abort>());
        // What the engine still tells of it reaches nobody.
        bench.Take();
        bench.Engine(engine::Text{Attempt(1), "late", 1});
        bench.Engine(engine::StreamDone{Attempt(1)});
        bench.Engine(engine::CallDone{Attempt(1)});
        bench.Engine(engine::AttemptFailed{Attempt(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.Count<SendToEntry>());
      });
}

const testing::Story kFreed("what an attempt holds", [] {
  std::vector<Section> sections;
  std::transform(kHoldings.begin(), kHoldings.end(),
                 std::back_inserter(sections), FreedWhen);
  return sections;
}());

std::size_t Starts(AgentBench& bench) {
  return bench.Count<engine::Prefill>() + bench.Count<engine::Decode>() +
         bench.Count<engine::Call>();
}

const testing::Story kAttemptsAtCore(
    "an attempt's start",
    {ForEach<Holding>(
         "delivered twice runs once:",
         kHoldings,
         [](const Holding& row) { return std::string(row.name); },
         [](const Holding& row) {
           AgentBench bench(row.options);
           row.make(bench, Attempt(1));
           const std::size_t starts = Starts(bench);
           row.make(bench, Attempt(1));
           CPPUNIT_ASSERT_EQUAL(starts, Starts(bench));
           CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                bench.Count<protocol::Refused>());
           bench.Say(protocol::Cancel{Attempt(1)});
           row.make(bench, Attempt(1));  // after it is over
           CPPUNIT_ASSERT_EQUAL(starts, Starts(bench));
           CPPUNIT_ASSERT(bench.core.held_attempts().empty());
         }),
     // Symptom: work runs that nobody waits for. Sequence: the start is
     // delayed on the network, its cancel or its successor comes first.
     ForEach<Holding>(
         "overtaken by its cancel or a newer attempt is refused:",
         kHoldings,
         [](const Holding& row) { return std::string(row.name); },
         [](const Holding& row) {
           AgentBench bench(row.options);
           bench.Say(protocol::Cancel{Attempt(1, 5)});
           row.make(bench, Attempt(1, 5));
           row.make(bench, Attempt(1, 4));
           CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts(bench));
           CPPUNIT_ASSERT(bench.core.held_attempts().empty());
           for (const auto& refused : bench.All<protocol::Refused>()) {
             CPPUNIT_ASSERT(refused.code == ResultCode::kSuperseded);
           }
           CPPUNIT_ASSERT(bench.Count<protocol::Refused>() >= 2);
         }),
     ForEach<Holding>(
         "by another entry's name is refused, and its cancel ignored:",
         kHoldings,
         [](const Holding& row) { return std::string(row.name); },
         [](const Holding& row) {
           AgentBench bench(row.options);
           bench.Connect(SessionId(2), Incarnation(101), "e2");
           row.make(bench, Attempt(1, 1, Incarnation(101)));
           CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts(bench));
           row.make(bench, Attempt(2));
           bench.Say(protocol::Cancel{Attempt(2)}, SessionId(2));
           CPPUNIT_ASSERT(bench.core.held_attempts() ==
                          std::vector{Attempt(2)});
         }),
     ForEach<Holding>(
         "while the agent leaves is refused:",
         kHoldings,
         [](const Holding& row) { return std::string(row.name); },
         [](const Holding& row) {
           AgentBench bench(row.options);
           bench.core.BeginDrain(bench.now);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                bench.Count<protocol::Leaving>());
           row.make(bench, Attempt(1));
           CPPUNIT_ASSERT(bench.All<protocol::Refused>()[0].code ==
                          ResultCode::kDraining);
           CPPUNIT_ASSERT(bench.All<protocol::Refused>()[0].load.leaving);
           CPPUNIT_ASSERT(bench.core.drained());
         })});

struct RuleCase {
  const char* name;
  AgentRules off;
  // What the rule prevents; true when it happened.
  std::function<bool(AgentBench&)> happens;
};

const testing::Story kRules(
    "a rule that is switched off no longer prevents",
    {ForEach<RuleCase>(
        "that",
        {{"a lapsed session keeps its stream",
          {.expire_leases = false},
          [](AgentBench& bench) {
            kHoldings[1].make(bench, Attempt(1));
            bench.Pass(4s, false);
            return !bench.core.held_attempts().empty();
          }},
         {"a closed session keeps its stream",
          {.clean_sessions = false},
          [](AgentBench& bench) {
            kHoldings[1].make(bench, Attempt(1));
            bench.core.OnSessionClosed(kSession, bench.now);
            return !bench.core.held_attempts().empty();
          }},
         {"a superseded attempt takes memory",
          {.check_attempts = false},
          [](AgentBench& bench) {
            bench.Say(protocol::Cancel{Attempt(1, 2)});
            bench.Say(ReserveFor(Attempt(1, 1)));
            return !bench.core.held_attempts().empty();
          }},
         {"a stream starts without a reservation",
          {.reserve_before_prefill = false},
          [](AgentBench& bench) {
            bench.Say(StreamOf(Attempt(1)));
            return Starts(bench) == 1;
          }}},
        [](const RuleCase& row) { return std::string(row.name); },
        [](const RuleCase& row) {
          AgentBench ruled(Decoder());
          CPPUNIT_ASSERT(!row.happens(ruled));
          AgentOptions options = Decoder();
          options.rules = row.off;
          AgentBench unruled(options);
          CPPUNIT_ASSERT(row.happens(unruled));
        })});

const testing::Story kDecode(
    "a decode endpoint",
    {// Symptom: prefills are done for nothing. Sequence: the prefill runs,
     // then the decode engine turns out to be full. Cause: no reservation.
     It("starts a stream only under a live reservation, unless that comes late",
        [] {
          for (const ReservationPolicy policy :
               {ReservationPolicy::kNone, ReservationPolicy::kHold,
                ReservationPolicy::kPromise}) {
            AgentOptions options = Decoder();
            options.reservation = policy;
            AgentBench bench(options);
            bench.Say(StreamOf(Attempt(1)));
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(policy == ReservationPolicy::kNone), Starts(bench));
            bench.Say(ReserveFor(Attempt(2)));
            bench.Pass(30s);
            bench.Say(StreamOf(Attempt(2)));
            const auto refused = bench.All<protocol::Refused>();
            CPPUNIT_ASSERT(refused.back().attempt == Attempt(2));
            CPPUNIT_ASSERT(refused.back().code == ResultCode::kNoDecodeMemory);
          }
        }),
     It("gives the room back when no transfer window is free",
        [] {
          AgentOptions options = Decoder();
          options.link_bytes_per_second = 1000;
          AgentBench bench(options);
          protocol::Reserve reserve = ReserveFor(Attempt(1));
          reserve.transfer_bytes = 700;
          bench.Say(reserve);
          reserve.attempt = Attempt(2);
          bench.Say(reserve);
          const auto refused = bench.Only<protocol::Refused>();
          CPPUNIT_ASSERT(refused.code == ResultCode::kLinkBusy);
          CPPUNIT_ASSERT(refused.retry_after == 600ms);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, refused.load.free_kv_tokens);
        }),
     // Symptom: a promised stream is refused although its prefill is done.
     // Sequence: an earlier stream outlasts its prediction by little.
     It("starts a promised stream once the late one ends, or refuses in time",
        [] {
          for (const bool ends : {true, false}) {
            AgentOptions options = Decoder();
            options.slots = 1;
            options.reservation = ReservationPolicy::kPromise;
            AgentBench bench(options);
            bench.Say(ReserveFor(Attempt(1)));
            bench.Say(StreamOf(Attempt(1)));  // predicted: 10 x 30 ms
            bench.Say(ReserveFor(Attempt(2)));
            CPPUNIT_ASSERT(bench.All<protocol::Reserved>()[1].available_in ==
                           300ms);
            bench.Pass(400ms);
            bench.Say(StreamOf(Attempt(2)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts(bench));
            if (ends) {
              bench.Engine(engine::StreamDone{Attempt(1)});
              CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts(bench));
            } else {
              bench.Pass(800ms);
              CPPUNIT_ASSERT(bench.Only<protocol::Refused>().attempt ==
                             Attempt(2));
              CPPUNIT_ASSERT(bench.Only<protocol::Refused>().phase ==
                             Phase::kDecode);
            }
          }
        }),
     It("pauses the engine for a slow reader and loses no chunk",
        [] {
          AgentBench bench(Decoder());
          bench.Say(ReserveFor(Attempt(1)));
          bench.Say(StreamOf(Attempt(1), 2));
          for (int i = 0; i < 5; ++i) {  // three were already under way
            bench.Engine(engine::Text{Attempt(1), "x", 1});
          }
          CPPUNIT_ASSERT(bench.Only<engine::SetPaused>().paused);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.Count<protocol::Chunk>());
          bench.Pass(60s);  // the reader's fault, not the engine's
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.Count<protocol::Failed>());
          bench.Engine(engine::StreamDone{Attempt(1)});
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000},
                               bench.core.load(bench.now).free_kv_tokens);
          for (std::uint64_t i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                 bench.Count<protocol::Ended>());
            bench.Say(protocol::Acknowledge{Attempt(1), SequenceNumber(i)});
            if (i == 2) {
              break;  // the last two go out with this
            }
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{5}, bench.Count<protocol::Chunk>());
          CPPUNIT_ASSERT(bench.Only<protocol::Ended>().chunks ==
                         SequenceNumber(5));
        }),
     It("gives up a stream that the engine lets stall",
        [] {
          AgentBench bench(Decoder());
          bench.Say(ReserveFor(Attempt(1)));
          bench.Say(StreamOf(Attempt(1)));
          bench.Pass(3s);
          bench.Engine(engine::Text{Attempt(1), "x", 1});
          bench.Pass(4s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.Count<protocol::Failed>());
          bench.Pass(1s);
          const auto failed = bench.Only<protocol::Failed>();
          CPPUNIT_ASSERT(failed.code == ResultCode::kEngineFailed);
          CPPUNIT_ASSERT(failed.outcome == Outcome::kUnknown);
          CPPUNIT_ASSERT(bench.Only<engine::Abort>().attempt == Attempt(1));
        }),
     It("lets run what runs or is reserved when it leaves", [] {
       AgentBench bench(Decoder());
       bench.Say(ReserveFor(Attempt(1)));
       bench.core.BeginDrain(bench.now);
       bench.core.BeginDrain(bench.now);
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.Count<protocol::Leaving>());
       bench.Say(StreamOf(Attempt(1)));
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts(bench));
       CPPUNIT_ASSERT(!bench.core.drained());
       bench.Engine(engine::StreamDone{Attempt(1)});
       CPPUNIT_ASSERT(bench.core.drained());
       bench.Connect(SessionId(2), kEntry);
       CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.Count<protocol::Leaving>());
       CPPUNIT_ASSERT(bench.core.next_timer() != bench.now);
     })});

std::shared_ptr<const manifest::Manifest> ManifestOf(std::uint64_t offset,
                                                     bool leaving,
                                                     std::uint32_t slots = 0) {
  auto manifest = std::make_shared<manifest::Manifest>();
  manifest->offset = LogOffset(offset);
  manifest->endpoints = {
      {.id = EndpointId("x"), .slots = slots, .leaving = leaving}};
  return manifest;
}

const testing::Story kConversation(
    "a conversation with an agent",
    {It("begins with a Hello or ends",
        [] {
          AgentBench bench(Decoder());
          bench.core.OnSessionOpened(SessionId(2), bench.now);
          bench.Say(ReserveFor(Attempt(1)), SessionId(2));
          CPPUNIT_ASSERT(bench.Only<CloseSession>().code ==
                         ResultCode::kBadFrame);
          bench.Say(protocol::Hello{}, SessionId(2));  // already forgotten
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               bench.Count<protocol::Welcome>());
        }),
     It("refuses work of another role",
        [] {
          AgentBench bench(Decoder());
          bench.Say(PrefillOf(Attempt(1)));
          bench.Say(PlainCall(Attempt(2)));
          for (const auto& refused : bench.All<protocol::Refused>()) {
            CPPUNIT_ASSERT(refused.code == ResultCode::kWrongRole);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                               bench.Count<protocol::Refused>());
        }),
     It("follows the manifest's bounds and its wish to leave, never an older",
        [] {
          AgentBench bench(Decoder());
          bench.core.OnManifest(ManifestOf(5, true, 7), bench.now);
          CPPUNIT_ASSERT(bench.core.load(bench.now).leaving);
          CPPUNIT_ASSERT_EQUAL(7u, bench.core.load(bench.now).limit);
          bench.core.OnManifest(ManifestOf(4, false, 9), bench.now);
          CPPUNIT_ASSERT(bench.core.load(bench.now).leaving);
          CPPUNIT_ASSERT_EQUAL(7u, bench.core.load(bench.now).limit);
          bench.core.OnManifest(ManifestOf(6, false), bench.now);
          CPPUNIT_ASSERT(!bench.core.load(bench.now).leaving);
          bench.core.BeginDrain(bench.now);
          bench.core.OnManifest(ManifestOf(7, false), bench.now);
          CPPUNIT_ASSERT(bench.core.load(bench.now).leaving);
          bench.Say(
              protocol::Renew{.incarnation = kEntry, .manifest = LogOffset(8)});
          CPPUNIT_ASSERT(bench.Only<protocol::Renewed>().manifest ==
                         LogOffset(7));
          CPPUNIT_ASSERT(bench.core.newest_manifest_heard() == LogOffset(8));
        })});

}  // namespace
}  // namespace acacialug::agent
