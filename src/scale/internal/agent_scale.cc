#include <memory>
#include <string>
#include <vector>

#include "agent/agent_core.h"
#include "scale/internal/sections.h"

namespace acacialug::scale {
namespace {

using agent::SessionId;

// A decode agent whose engine is empty and accepts everything.
class AgentHarness {
 public:
  explicit AgentHarness(std::size_t sessions)
      : core({.endpoint = EndpointId("runner-1"),
              .incarnation = Incarnation(500),
              .domain = FailureDomain("region-0-hall-0"),
              .role = protocol::EndpointRole::kDecode,
              .kv_tokens = 1000000000,
              .slots = 100000},
             this->random) {
    this->core.Start(this->now);
    this->core.OnEngineEvent(engine::Held{}, this->now);
    for (std::size_t i = 1; i <= sessions; ++i) {
      this->core.OnSessionOpened(SessionId(i), this->now);
      this->Say(i,
                protocol::Hello{.entry = EntryId("entry-" + std::to_string(i)),
                                .incarnation = Incarnation(i),
                                .domain = FailureDomain("region-0-hall-0")});
    }
    this->AdvanceBy();
  }

  void Say(std::size_t session, const protocol::EntryToAgent& message) {
    this->core.OnMessage(SessionId(session), message, this->now);
  }
  void Tell(const engine::EngineEvent& event) {
    this->core.OnEngineEvent(event, this->now);
  }
  // Advances the time and runs the timer; returns the number of due actions.
  std::size_t AdvanceBy(Duration passed = {}) {
    this->now += passed;
    if (this->core.next_timer() <= this->now) {
      this->core.OnTimer(this->now);
    }
    return this->core.TakeActions().size();
  }
  agent::AgentCore& Core() { return this->core; }

 private:
  RandomSource random{1};
  Instant now{1000s};
  agent::AgentCore core;
};

AttemptId AttemptOf(std::uint64_t number) {
  // Pseudorandom, since the table hashes by these bits.
  return {
      {number * 0x9e3779b97f4a7c15U, number}, AttemptNumber(1), Incarnation(1)};
}

double BytesOfSessions(std::size_t sessions) {
  const double heap = HeapBytes();
  const AgentHarness agent(sessions);
  return HeapBytes() - heap;
}

// Renewals are spread over the second, as those of many entries are.
double MicrosecondsOfRenewals(std::size_t sessions) {
  constexpr std::size_t kSeconds = 20;
  AgentHarness agent(sessions);
  const Duration gap = Duration(1s) / sessions;
  const double begin = ThreadMicroseconds();
  for (std::size_t second = 0; second < kSeconds; ++second) {
    for (std::size_t i = 1; i <= sessions; ++i) {
      agent.Say(i, protocol::Renew{.incarnation = Incarnation(i)});
      agent.AdvanceBy(gap);
    }
  }
  return (ThreadMicroseconds() - begin) / kSeconds;
}

void Reserve(AgentHarness& agent, std::uint64_t number) {
  agent.Say(1, protocol::Reserve{.attempt = AttemptOf(number),
                                 .kv_tokens = 1000,
                                 .transfer_bytes = 1000,
                                 .start_within = 1s});
}

void Start(AgentHarness& agent, std::uint64_t number) {
  Reserve(agent, number);
  agent.Say(1, protocol::StartDecode{
                   .attempt = AttemptOf(number),
                   .generation = {.model = ModelName("m"), .max_tokens = 270},
                   .kv = {.transfer_params = "{}", .tokens = 90, .bytes = 900},
                   .kv_tokens = 1000,
                   .window_chunks = 256});
  agent.AdvanceBy();
}

// At 100 a second: the core remembers attempts for some time, so that at a
// higher rate each would cost more.
double MicrosecondsOfReservations(std::size_t count) {
  constexpr std::size_t kSecond = 100;
  AgentHarness agent(1);
  const double begin = ThreadMicroseconds();
  for (std::size_t i = 1; i <= count; ++i) {
    Reserve(agent, i);
    agent.AdvanceBy();
    agent.Say(1, protocol::Cancel{AttemptOf(i)});
    if (i % kSecond == 0) {
      agent.Say(1, protocol::Renew{.incarnation = Incarnation(1)});
    }
    agent.AdvanceBy(Duration(1s) / kSecond);
  }
  return ThreadMicroseconds() - begin;
}

double BytesOfStreams(std::size_t streams) {
  AgentHarness agent(72);
  const double heap = HeapBytes();
  for (std::size_t i = 1; i <= streams; ++i) {
    Start(agent, i);
  }
  return HeapBytes() - heap;
}

// Over 40 streams, acknowledged at every 8th chunk.
double MicrosecondsOfChunks(std::size_t chunks) {
  constexpr std::size_t kStreams = 40;
  constexpr std::size_t kAcknowledgeEvery = 8;
  AgentHarness agent(72);
  for (std::size_t i = 1; i <= kStreams; ++i) {
    Start(agent, i);
  }
  const double begin = ThreadMicroseconds();
  for (std::size_t round = 0; round < chunks / kStreams; ++round) {
    for (std::size_t i = 1; i <= kStreams; ++i) {
      agent.Tell(engine::Text{AttemptOf(i), " token", 1});
      if (round % kAcknowledgeEvery == kAcknowledgeEvery - 1) {
        agent.Say(1,
                  protocol::Acknowledge{AttemptOf(i), SequenceNumber(round)});
      }
      agent.AdvanceBy();
    }
  }
  return ThreadMicroseconds() - begin;
}

}  // namespace

std::vector<Sweep> AgentSweeps() {
  const std::vector<std::size_t> counts = {1000, 2000, 4000, 8000};
  return {{"agent.session_memory",
           "bytes",
           "open sessions",
           {25, 50, 100, 200, 400},
           BytesOfSessions},
          {"agent.renewal_cpu",
           "us",
           "renewals",
           {25, 50, 100, 200, 400},
           MicrosecondsOfRenewals},
          {"agent.reservation_cpu", "us", "reservations, made and cancelled",
           counts, MicrosecondsOfReservations},
          {"agent.stream_memory",
           "bytes",
           "open streams",
           {32, 64, 128, 256},
           BytesOfStreams},
          {"agent.chunk_cpu",
           "us",
           "chunks",
           {2000, 4000, 8000, 16000},
           MicrosecondsOfChunks}};
}

}  // namespace acacialug::scale
