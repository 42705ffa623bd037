#ifndef AGENT_TESTS_AGENT_BENCH_H_
#define AGENT_TESTS_AGENT_BENCH_H_

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent_core.h"
#include "framework/testing/story.h"

#define CHECK(condition) CPPUNIT_ASSERT(condition)

namespace acacialug::agent {

using protocol::EndpointRole;
using protocol::Outcome;

inline constexpr Incarnation kHome{500};   // of the agent under test
inline constexpr Incarnation kEntry{100};  // of its entry
inline constexpr SessionId kSession{1};
inline constexpr Instant kNow{1000s};

// An attempt, identified by its request number and its attempt number.
struct Attempt : AttemptId {
  Attempt(std::uint64_t number_of_request,  // NOLINT: implicit from a number
          std::uint64_t number = 1,
          Incarnation by = kEntry) {
    this->request = {number_of_request, number_of_request};
    this->attempt = AttemptNumber(number);
    this->entry = by;
  }
};

using Attempts = std::vector<AttemptId>;

// A core in virtual time. One entry is connected, and the engine has listed its
// attempts.
class AgentBench {
 public:
  explicit AgentBench(AgentOptions options, bool ready = true);

  void Connect(SessionId session, Incarnation entry, const char* id = "e1");
  void Send(const protocol::EntryToAgent& message, SessionId by = kSession);
  void Deliver(const engine::EngineEvent& event);
  // Advances the time and runs every timer at its instant. Renews the session
  // if `renew` is set.
  void AdvanceBy(Duration duration, bool renew = true);

  // Returns the actions of the core since the last call, in order, as short
  // text: the numbers of the attempt, and the fields by which actions of one
  // kind differ. Renewals and listings are omitted.
  std::string Trace();

  RandomSource random{1};
  Instant now = kNow;
  AgentCore core;
  std::vector<AttemptId> in_engine;  // the engine lists these
  std::size_t listings = 0;          // requested since the last Trace

 private:
  std::string trace;
  void Collect();
};

using Step = std::function<void(AgentBench&)>;

// A sequence of steps; `+` appends to it.
class Steps {
 public:
  Steps() = default;
  Steps(Step step)
      : list{std::move(step)} {}  // NOLINT: a step converts to a sequence

  Steps operator+(const Steps& more) const;
  void Play(AgentBench& bench) const;

 private:
  std::vector<Step> list;
};

Steps Sends(const protocol::EntryToAgent& message, SessionId by = kSession);
Steps EngineReports(const engine::EngineEvent& event);
Steps Advances(Duration duration, bool renew = true);
Steps Stalls(Duration duration);  // runs no timer
Steps Connects(SessionId session, Incarnation entry, const char* id = "e1");
Steps Opens(SessionId session);  // without a Hello
Steps Drops(SessionId session = kSession);
Steps Drains();
Steps Manifests(std::uint64_t offset, bool leaving, std::uint32_t slots = 0);

Steps Reserves(Attempt attempt, std::uint64_t bytes = 0);
Steps Streams(Attempt attempt, std::uint32_t window = 8);
Steps Prefills(Attempt attempt,
               Duration within = 9s,
               std::uint64_t tokens = 500);
Steps Calls(Attempt attempt, protocol::Once once = {});
Steps LooksUp(Attempt attempt, protocol::Once once);
Steps Cancels(Attempt attempt);
Steps Texts(Attempt attempt, int times = 1);
Steps Acknowledges(Attempt attempt, std::uint64_t through);
Steps StreamEnds(Attempt attempt);
Steps PrefillEnds(Attempt attempt);
Steps CallEnds(Attempt attempt);
Steps Fails(Attempt attempt, Outcome outcome = Outcome::kUnknown);

// The steps that one agent goes through, its whole trace, and the number of
// attempts that hold a resource at the end.
struct TraceCase {
  std::string name;
  AgentOptions options;
  Steps steps;
  std::string trace;
  std::size_t held = 0;
};

void Play(const TraceCase& trace_case);
testing::Section TraceCases(std::string name,
                            std::vector<TraceCase> trace_cases);

// Makes one test for each row of a table whose rows have a `name`.
template <typename Row>
testing::Section Cases(std::string name,
                       std::vector<Row> rows,
                       std::function<void(const Row&)> body) {
  return testing::ForEach<Row>(
      std::move(name), std::move(rows),
      [](const Row& row) { return std::string(row.name); }, std::move(body));
}

inline AgentOptions Decoder(ReservationPolicy policy = ReservationPolicy::kHold,
                            std::uint32_t slots = 4,
                            std::uint64_t link_rate = 0) {
  return {.role = EndpointRole::kDecode,
          .kv_tokens = 1000,
          .slots = slots,
          .link_bytes_per_second = link_rate,
          .reservation = policy};
}

inline AgentOptions Prefiller(bool counts_queue = true) {
  return {.role = EndpointRole::kPrefill,
          .feasibility_counts_queue = counts_queue,
          .initial_prefill_tokens_per_second = 1000,
          .queue_limit = 2};
}

inline AgentOptions Plain(std::uint32_t slots = 1) {
  return {.role = EndpointRole::kPlain,
          .slots = slots,
          .queue_limit = 1,
          .once_max_keys = 2};
}

}  // namespace acacialug::agent

#endif  // AGENT_TESTS_AGENT_BENCH_H_
