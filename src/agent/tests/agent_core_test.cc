#include "agent/agent_core.h"

#include <algorithm>
#include <iterator>

#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using testing::It;
using testing::Section;

constexpr SessionId kOther{2};
constexpr Incarnation kSuccessor{101};

// A resource that Attempt(1) holds at an agent of the right role, with the
// trace of its start and the trace of its release.
struct Holding {
  std::string name;
  AgentOptions options;
  Steps steps;
  std::string started;
  std::string freed;
};

const std::vector<Holding> kHoldings = {
    {"a reservation", Decoder(), Reserves(1), "reserved 1", ""},
    {"a stream", Decoder(), Reserves(1) + Streams(1), "reserved 1, decode 1",
     "abort 1, "},
    {"a prefill", Prefiller(), Prefills(1), "prefill 1", "abort 1, "},
    {"an export", Prefiller(), Prefills(1) + PrefillEnds(1),
     "prefill 1, prefilled 1", "abort 1, "},
    {"a call", Plain(), Calls(1), "call 1", "abort 1, "},
};

// Each row guards against memory or a slot that stays taken although no request
// uses it.
struct End {
  std::string name;
  Steps steps;
  std::string before;  // the trace before the release
  std::string after;
};

const std::vector<End> kEnds = {
    {"its entry cancels it, twice", Cancels(1) + Cancels(1)},
    {"its session is closed", Drops()},
    {"a newer attempt comes and is cancelled", Cancels({1, 2})},
    {"its entry is replaced", Connects(kOther, kSuccessor),
     "close superseded, ", "welcome, "},
    {"its session is not renewed", Stalls(3s) + Advances(1us, false),
     "close heartbeat_lost, "},
    {"the agent resumes after a stall, and the renewal arrives only then",
     Stalls(4s) + Sends(protocol::Renew{.incarnation = kEntry}),
     "close heartbeat_lost, "},
    {"its connection breaks the protocol",
     Sends(protocol::Renew{.incarnation = kSuccessor}), "close bad_frame, "},
};

Section FreedWhen(const Holding& holding) {
  return Cases<End>(
      holding.name + " is freed when", kEnds, [holding](const End& end) {
        const Steps late = Texts(1) + StreamEnds(1) + CallEnds(1) + Fails(1);
        Holding lasting = holding;  // the export does not lapse during the test
        lasting.options.export_lifetime = 9s;
        const std::string trace =
            holding.started + ", " + end.before + holding.freed + end.after;
        Play({end.name, lasting.options, holding.steps + end.steps + late,
              trace.substr(0, trace.size() - 2)});
      });
}

const testing::Story kFreed("what an attempt holds", [] {
  std::vector<Section> sections;
  std::transform(kHoldings.begin(), kHoldings.end(),
                 std::back_inserter(sections), FreedWhen);
  return sections;
}());

// Plays the steps of the holding, once or twice, between `before` and `after`.
Section StartedBetween(std::string name,
                       const Steps& before,
                       const Steps& after,
                       const std::function<std::string(const Holding&)>& trace,
                       std::size_t held = 0,
                       bool twice = false) {
  return Cases<Holding>(std::move(name), kHoldings, [=](const Holding& row) {
    const Steps steps = twice ? row.steps + row.steps : row.steps;
    Play({row.name, row.options, before + steps + after, trace(row), held});
  });
}

// The second step of an export comes from the engine, and no request waits for
// it.
std::function<std::string(const Holding&)> RefusedAs(const std::string& code) {
  return [code](const Holding& row) {
    const std::string refused = "refused 1 " + code;
    return row.name == "a stream"    ? refused + ", " + refused
           : row.name == "an export" ? refused + ", abort 1"
                                     : refused;
  };
}

const testing::Story kStarts(
    "an attempt's start",
    {// A repeated reservation is harmless and is answered. Every other repeated
     // start is dropped.
     StartedBetween(
         "delivered twice runs once:",
         {},
         {},
         [](const Holding& row) {
           return row.started + (row.freed.empty() ? ", reserved 1" : "");
         },
         1,
         true),
     // Guards against work that runs although no request waits for it: the
     // start is delayed, and its cancel arrives first.
     StartedBetween("overtaken by its cancel is refused:",
                    Cancels(1),
                    {},
                    RefusedAs("superseded")),
     StartedBetween("overtaken by a newer attempt is refused:",
                    Cancels({1, 2}),
                    {},
                    RefusedAs("superseded")),
     StartedBetween("while the agent does not take work is refused:",
                    Step([](AgentBench& bench) {
                      bench.core.BeginDrain(bench.now);
                      bench.Trace();
                    }),
                    {},
                    RefusedAs("draining")),
     StartedBetween(
         "is not affected by another entry's cancel:",
         Connects(kOther, kSuccessor, "e2"),
         Sends(protocol::Cancel{Attempt(1)}, kOther) +
             Sends(protocol::Cancel{Attempt(1, 1, kSuccessor)}, kOther),
         [](const Holding& row) { return "welcome, " + row.started; },
         1),
     Cases<Holding>("after its cancel is dropped:",
                    kHoldings,
                    [](const Holding& row) {
                      AgentBench bench(row.options);
                      (row.steps + Cancels(1)).Play(bench);
                      bench.Trace();
                      row.steps.Play(bench);
                      CHECK(bench.core.held_attempts().empty());
                      CHECK(bench.Trace().find("refused") == std::string::npos);
                    })});

struct RuleCase {
  std::string name;
  AgentRules off;
  Steps steps;
};

// Each row leaves a resource held that the rule would have released or refused.
const testing::Story kRules(
    "without its rule",
    {Cases<RuleCase>("an agent lets",
                     {{"a lapsed session keep its stream",
                       {.expire_leases = false},
                       Reserves(1) + Streams(1) + Advances(4s, false)},
                      {"a closed session keep its stream",
                       {.clean_sessions = false},
                       Reserves(1) + Streams(1) + Drops()},
                      {"a superseded attempt take memory",
                       {.check_attempts = false},
                       Cancels({1, 2}) + Reserves(1)},
                      {"a stream start without a reservation",
                       {.reserve_before_prefill = false},
                       Streams(1)}},
                     [](const RuleCase& row) {
                       for (const bool ruled : {true, false}) {
                         AgentOptions options = Decoder();
                         options.rules = ruled ? AgentRules{} : row.off;
                         AgentBench bench(options);
                         row.steps.Play(bench);
                         CHECK(bench.core.held_attempts().empty() == ruled);
                       }
                     })});

AgentOptions DecoderWith(const std::function<void(AgentOptions&)>& change) {
  AgentOptions options = Decoder();
  change(options);
  return options;
}

constexpr auto kPromise = ReservationPolicy::kPromise;

const testing::Story kDecode(
    "a decode endpoint",
    {TraceCases(
        "",
        {{"streams an answer under a reservation and frees its memory",
          Decoder(), Reserves(1) + Streams(1) + Texts(1, 2) + StreamEnds(1),
          "reserved 1, decode 1, chunk 1:0, chunk 1:1, ended 1:2"},
         // Guards against wasted prefills: the prefill runs, and only then the
         // engine turns out to be full.
         {"starts no stream without a reservation", Decoder(), Streams(1),
          "refused 1 no_decode_memory"},
         {"starts no stream without a reservation where the policy is to "
          "promise",
          Decoder(kPromise), Streams(1), "refused 1 no_decode_memory"},
         {"starts a stream at once where reservations come after the prefill",
          Decoder(ReservationPolicy::kNone, 1), Streams(1) + Streams(2),
          "decode 1, refused 2 no_decode_memory", 1},
         {"lets an unused reservation lapse", Decoder(),
          Reserves(1) + Advances(30s) + Streams(1),
          "reserved 1, refused 1 no_decode_memory"},
         {"releases the memory when no transfer window is free",
          Decoder(ReservationPolicy::kHold, 2, 1000),
          Reserves(1, 700) + Reserves(2, 700) + Reserves(3),
          "reserved 1, refused 2 link_busy, reserved 3", 2},
         // Guards against the refusal of a promised stream whose prefill is
         // done: an earlier stream outlasts its predicted end by a short time.
         {"starts a promised stream once the late one ends",
          Decoder(kPromise, 1),
          Reserves(1) + Streams(1) + Reserves(2) + Advances(400ms) +
              Streams(2) + StreamEnds(1),
          "reserved 1, decode 1, reserved 2 in 300, ended 1:0, decode 2", 1},
         {"refuses a promised stream while its export is alive elsewhere",
          Decoder(kPromise, 1),
          Reserves(1) + Streams(1) + Reserves(2) + Advances(400ms) +
              Streams(2) + Advances(800ms),
          "reserved 1, decode 1, reserved 2 in 300, refused 2 no_decode_memory",
          1},
         {"pauses the engine for a slow reader and does not treat it as a "
          "stall",
          Decoder(),
          Reserves(1) + Streams(1, 2) + Texts(1, 4) + Advances(60s) +
              Acknowledges(1, 1) + Acknowledges(1, 3),
          "reserved 1, decode 1, chunk 1:0, chunk 1:1, pause 1, chunk 1:2, "
          "chunk 1:3, pause 1 off",
          1},
         {"keeps the unread chunks, but no memory, after the end of a stream",
          Decoder(),
          Reserves(1) + Streams(1, 2) + Texts(1, 3) + StreamEnds(1) +
              Acknowledges(1, 0),
          "reserved 1, decode 1, chunk 1:0, chunk 1:1, pause 1, chunk 1:2, "
          "ended 1:3"},
         {"fails a stream that stalls in the engine", Decoder(),
          Reserves(1) + Streams(1) + Advances(3s) + Texts(1) + Advances(5s),
          "reserved 1, decode 1, chunk 1:0, failed 1 engine_failed unknown, "
          "abort 1"},
         // Guards against requests that miss their first-token target at a
         // stalled engine while other engines have capacity: the engine stalls
         // in the middle of its streams, and its free slots look like those of
         // any other engine until the timeout of a stream itself.
         {"gives an engine no more work while it produces no token", Decoder(),
          Reserves(1) + Reserves(2) + Streams(1) + Texts(1) + Stalls(299ms) +
              Reserves(3) + Stalls(1ms) + Reserves(4) + Streams(2),
          "reserved 1, reserved 2, decode 1, chunk 1:0, reserved 3, "
          "refused 4 no_decode_memory, refused 2 no_decode_memory",
          2},
         {"gives the engine work again after the next token", Decoder(),
          Reserves(1) + Streams(1) + Texts(1) + Advances(1s) + Reserves(2) +
              Texts(1) + Reserves(3),
          "reserved 1, decode 1, chunk 1:0, refused 2 no_decode_memory, "
          "chunk 1:1, reserved 3",
          2},
         {"waits longer for a first token, which may wait for its import",
          Decoder(),
          Reserves(1) + Streams(1) + Advances(1099ms) + Reserves(2) +
              Advances(1ms) + Reserves(3),
          "reserved 1, decode 1, reserved 2, refused 3 no_decode_memory", 2},
         // Guards against an agent that refuses every reservation after its own
         // process stall of a second although its engine produced tokens
         // throughout: sessions are read before the stream of the engine, so
         // the time of the stall must not count towards the timeout of the
         // engine.
         {"does not count its own process stall as a timeout of the engine",
          Decoder(),
          Reserves(1) + Reserves(2) + Streams(1) + Texts(1) + Stalls(1s) +
              Reserves(3) + Streams(2) + Texts(1),
          "reserved 1, reserved 2, decode 1, chunk 1:0, reserved 3, decode 2, "
          "chunk 1:1",
          3},
         {"does not count its own process stall against a first token",
          Decoder(), Reserves(1) + Streams(1) + Stalls(1200ms) + Reserves(2),
          "reserved 1, decode 1, reserved 2", 2},
         {"refuses work when the engine is unresponsive after the stall, too",
          Decoder(),
          Reserves(1) + Streams(1) + Texts(1) + Stalls(1s) + Reserves(2) +
              Advances(300ms) + Reserves(3),
          "reserved 1, decode 1, chunk 1:0, reserved 2, "
          "refused 3 no_decode_memory",
          2},
         // Otherwise an agent on a busy processor would never find its engine
         // unresponsive.
         {"refuses work for an unresponsive engine despite repeated stalls",
          Decoder(),
          Reserves(1) + Streams(1) + Texts(1) + Stalls(500ms) + Reserves(2) +
              Stalls(500ms) + Reserves(3),
          "reserved 1, decode 1, chunk 1:0, reserved 2, "
          "refused 3 no_decode_memory",
          2},
         {"takes work while its only reader is slow", Decoder(),
          Reserves(1) + Streams(1, 1) + Texts(1, 2) + Stalls(2s) + Reserves(2),
          "reserved 1, decode 1, chunk 1:0, pause 1, reserved 2", 2},
         // Guards against a request that misses its first-token target although
         // its export is alive: its stream is started, and then the engine
         // stalls.
         {"fails a start whose export is alive when the engine is unresponsive",
          Decoder(),
          Reserves(1) + Reserves(2) + Streams(1) + Texts(1) + Streams(2) +
              Advances(299ms) + Advances(1ms),
          "reserved 1, reserved 2, decode 1, chunk 1:0, decode 2, "
          "failed 2 engine_failed unknown, abort 2",
          1},
         {"keeps a start while other streams get their tokens", Decoder(),
          Reserves(1) + Reserves(2) + Streams(1) + Texts(1) + Streams(2) +
              Advances(200ms) + Texts(1) + Advances(299ms) + Texts(1) +
              Advances(299ms) + Texts(2),
          "reserved 1, reserved 2, decode 1, chunk 1:0, decode 2, chunk 1:1, "
          "chunk 1:2, chunk 2:0",
          2},
         {"keeps a start after its own process stall", Decoder(),
          Reserves(1) + Reserves(2) + Streams(1) + Texts(1) + Streams(2) +
              Stalls(400ms) + Advances(1ms) + Texts(1) + Texts(2),
          "reserved 1, reserved 2, decode 1, chunk 1:0, decode 2, chunk 1:1, "
          "chunk 2:0",
          2},
         {"does not fail a stream because of its own process stall",
          DecoderWith([](AgentOptions& o) { o.session_lease = 1h; }),
          Reserves(1) + Streams(1) + Stalls(9s) + Texts(1),
          "reserved 1, decode 1, chunk 1:0", 1},
         {"forwards the outcome that the engine reports for a failure",
          Decoder(), Reserves(1) + Streams(1) + Fails(1, Outcome::kNotRun),
          "reserved 1, decode 1, failed 1 engine_failed not_run"},
         {"refuses work of another role", Decoder(), Prefills(1) + Calls(2),
          "refused 1 wrong_role, refused 2 wrong_role"},
         {"lets a reserved stream start and run while the agent drains",
          Decoder(),
          Reserves(1) + Drains() + Drains() + Streams(1) +
              Connects(kOther, kEntry),
          "reserved 1, leaving, decode 1, welcome, leaving", 1},
         {"fails the remaining streams as unknown when the drain grace ends",
          DecoderWith([](AgentOptions& o) { o.drain_grace = 4s; }),
          Reserves(1) + Streams(1) + Reserves(2) + Drains() + Advances(4s),
          "reserved 1, decode 1, reserved 2, leaving, failed 1 endpoint_lost "
          "unknown, abort 1, refused 2 draining"}})});

const testing::Story kConversation(
    "a conversation with an agent",
    {TraceCases("",
                {{"begins with a Hello or ends", Decoder(),
                  Opens(kOther) + Sends(protocol::Cancel{Attempt(1)}, kOther) +
                      Sends(protocol::Hello{}, kOther),  // already closed
                  "close bad_frame"},
                 {"cannot be about another entry's attempts", Decoder(),
                  Reserves({1, 1, kSuccessor}), "refused 1 superseded"}}),
     It("follows the bounds and the leaving state of the newest manifest only",
        [] {
          AgentBench bench(Decoder());
          const auto check = [&](const Steps& steps, bool leaving,
                                 std::uint32_t limit) {
            steps.Play(bench);
            CHECK(bench.core.load(bench.now).leaving == leaving);
            CHECK(bench.core.load(bench.now).limit == limit);
          };
          check(Manifests(5, true, 7), true, 7);
          check(Manifests(4, false, 9), true, 7);
          check(Manifests(6, false), false, 7);
          check(Drains(), true, 7);
          check(Manifests(7, false), true, 7);  // the drain stays in effect
          CHECK(bench.core.drained());
          bench.Send(
              protocol::Renew{.incarnation = kEntry, .manifest = LogOffset(8)});
          CHECK(bench.core.newest_reported_manifest() == LogOffset(8));
          // Guards against agents that keep an old manifest for half a minute:
          // an entry names an offset that never comes, and the others name the
          // next one. An agent that forwards only an offset above all earlier
          // ones ignores the latter.
          bench.Send(protocol::Renew{.incarnation = kEntry,
                                     .manifest = LogOffset(1'000'000)});
          bench.Send(
              protocol::Renew{.incarnation = kEntry, .manifest = LogOffset(9)});
          CHECK(bench.core.newest_reported_manifest() == LogOffset(9));
        })});

struct HoldingRow {
  std::string name;
  AgentOptions options;
  Steps steps;
  std::vector<HeldKind> holdings;
};

const testing::Story kOperatorsView(
    "an agent's operators see",
    {Cases<HoldingRow>(
         "what an attempt holds:",
         {{"nothing", Decoder(), {}, {}},
          {"a reservation", Decoder(), Reserves(1), {HeldKind::kReservation}},
          {"a stream",
           Decoder(),
           Reserves(1) + Streams(1),
           {HeldKind::kStream}},
          {"nothing after its end",
           Decoder(),
           Reserves(1) + Streams(1) + StreamEnds(1),
           {}},
          {"a prefill, and a queued prefill",
           Prefiller(),
           Prefills(1) + Prefills(2),
           {HeldKind::kQueuedPrefill, HeldKind::kPrefill}},
          {"an export",
           Prefiller(),
           Prefills(1) + PrefillEnds(1),
           {HeldKind::kExport}},
          {"a call, and a queued call",
           Plain(),
           Calls(1) + Calls(2),
           {HeldKind::kQueuedCall, HeldKind::kCall}}},
         [](const HoldingRow& row) {
           AgentBench bench(row.options);
           row.steps.Play(bench);
           std::vector<HeldKind> holdings;
           for (const HeldAttempt& held : bench.core.Holdings(bench.now)) {
             holdings.push_back(held.kind);
           }
           CHECK(holdings == row.holdings);
         }),
     It("for how long, since the attempt's first message", [] {
       AgentBench bench(Decoder());
       Reserves(1).Play(bench);
       bench.AdvanceBy(400ms);
       Streams(1).Play(bench);
       bench.AdvanceBy(100ms);
       const auto held = bench.core.Holdings(bench.now);
       CHECK(held.size() == 1 && held[0].age == 500ms);
       CHECK(held[0].attempt == Attempt(1));
     })});

}  // namespace
}  // namespace acacialug::agent
