#include "agent/agent_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

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

}  // namespace
}  // namespace acacialug::agent
