#include <algorithm>
#include <string>
#include <vector>

#include "agent/agent_core.h"
#include "heartbeat/heartbeat_sender.h"
#include "protocol/message_codec.h"
#include "scale/internal/sections.h"

namespace acacialug::scale {
namespace {

constexpr int kShards = 2;

protocol::Heartbeat BeatOf(std::size_t process, std::uint32_t sequence) {
  const auto first = static_cast<std::uint32_t>(process * kShards);
  return {.entry = EntryId("entry-" + std::to_string(100 + process)),
          .incarnation = Incarnation(process + 1),
          .sequence = sequence,
          .manifest = LogOffset(1000000),
          .interval = 1s,
          .sessions = {first + 1, first + 2}};
}

protocol::HeartbeatAnswer AnswerTo(const protocol::Heartbeat& heartbeat,
                                   bool has_load) {
  return {.agent = Incarnation(~0ULL),
          .sequence = heartbeat.sequence,
          .manifest = LogOffset(1000000),
          .lease = 3s,
          .renewed = 3,
          .has_load = has_load};
}

Measure WireBytes(const std::string& datagram) {
  const std::size_t size = datagram.size() + protocol::kDatagramHeaderBytes;
  return
      [size](std::size_t count) { return static_cast<double>(size * count); };
}

double MicrosecondsOfCodec(std::size_t count) {
  const protocol::Heartbeat heartbeat = BeatOf(0, 1);
  const protocol::HeartbeatAnswer answer = AnswerTo(heartbeat, false);
  const double begin = ThreadMicroseconds();
  std::size_t good = 0;
  for (std::size_t i = 0; i < count; ++i) {
    good += protocol::DecodeHeartbeat(protocol::Encode(heartbeat)).ok() ? 1 : 0;
    good +=
        protocol::DecodeHeartbeatAnswer(protocol::Encode(answer)).ok() ? 1 : 0;
  }
  return good == 2 * count ? ThreadMicroseconds() - begin : -1;
}

// An entry's sender with the sessions of two shards at each agent.
class SenderHarness {
 public:
  explicit SenderHarness(std::size_t agents)
      : sender({.entry = EntryId("entry-100"), .incarnation = Incarnation(1)},
               this->random) {
    for (std::size_t i = 0; i < agents; ++i) {
      for (int shard = 0; shard < kShards; ++shard) {
        this->sender.OnOpened(
            {.shard = shard,
             .endpoint = EndpointId("runner-" + std::to_string(i)),
             .name = {.agent = Incarnation(i + 1), .number = 1},
             .lease = 3s},
            this->now);
      }
    }
  }
  // Advances the time and answers every heartbeat; returns their number.
  std::size_t AdvanceBy(Duration duration) {
    std::size_t beats = 0;
    const Instant end = this->now + duration;
    while (this->sender.next_timer() <= end) {
      this->now = std::max(this->now, this->sender.next_timer());
      this->sender.OnTimer(this->now);
      for (const auto& [endpoint, heartbeat] : this->sender.TakeHeartbeats()) {
        protocol::HeartbeatAnswer answer = AnswerTo(heartbeat, false);
        answer.agent = Incarnation(std::stoull(endpoint.text.substr(7)) + 1);
        this->sender.OnAnswer(answer, 40, this->now);
        ++beats;
      }
      this->sender.TakeRenewals();
    }
    this->now = end;
    return beats;
  }

 private:
  RandomSource random{1};
  Instant now{1000s};
  heartbeat::HeartbeatSender sender;
};

double BytesOfPeers(std::size_t agents) {
  const double heap = HeapBytes();
  SenderHarness sender(agents);
  sender.AdvanceBy(5s);
  return HeapBytes() - heap;
}

double MicrosecondsOfSender(std::size_t agents) {
  SenderHarness sender(agents);
  sender.AdvanceBy(3s);
  const double begin = ThreadMicroseconds();
  const std::size_t beats = sender.AdvanceBy(20s);
  return (ThreadMicroseconds() - begin) / static_cast<double>(beats) *
         static_cast<double>(agents);
}

// An agent with two sessions of each of `processes` entries.
double MicrosecondsOfAgent(std::size_t processes) {
  constexpr std::uint32_t kRounds = 20;
  RandomSource random(1);
  Instant now{1000s};
  agent::AgentCore core({.endpoint = EndpointId("runner-1"),
                         .incarnation = Incarnation(500),
                         .role = protocol::EndpointRole::kDecode,
                         .kv_tokens = 1000000000,
                         .slots = 100000},
                        random);
  core.Start(now);
  core.OnEngineEvent(engine::Held{}, now);
  for (std::size_t i = 0; i < processes; ++i) {
    const protocol::Heartbeat beat = BeatOf(i, 1);
    for (int shard = 0; shard < kShards; ++shard) {
      const agent::SessionId session(beat.sessions[shard]);
      core.OnSessionOpened(session, now);
      core.OnMessage(session,
                     protocol::Hello{.entry = EntryId(beat.entry.text + "/" +
                                                      std::to_string(shard)),
                                     .incarnation = Incarnation(shard + 1),
                                     .process = beat.entry,
                                     .process_incarnation = beat.incarnation,
                                     .interval = 1s},
                     now);
    }
  }
  core.TakeActions();
  std::size_t answered = 0;
  const Duration gap = Duration(1s) / processes;
  const double begin = ThreadMicroseconds();
  for (std::uint32_t round = 1; round <= kRounds; ++round) {
    for (std::size_t i = 0; i < processes; ++i) {
      answered += core.OnHeartbeat(BeatOf(i, round), now) ? 1 : 0;
      now += gap;
    }
  }
  const double used = ThreadMicroseconds() - begin;
  return answered == processes * kRounds ? used / kRounds : -1;
}

}  // namespace

std::vector<Sweep> HeartbeatSweeps() {
  const std::vector<std::size_t> counts = {1000, 2000, 4000, 8000};
  const std::vector<std::size_t> agents = {144, 288, 576, 1152};
  const protocol::Heartbeat beat = BeatOf(0, 1);
  return {{"protocol.heartbeat_bytes", "bytes", "heartbeats, headers included",
           counts, WireBytes(protocol::Encode(beat)), 1},
          {"protocol.heartbeat_answer_bytes", "bytes", "answers without a load",
           counts, WireBytes(protocol::Encode(AnswerTo(beat, false))), 1},
          {"protocol.heartbeat_load_bytes", "bytes", "answers with a load",
           counts, WireBytes(protocol::Encode(AnswerTo(beat, true))), 1},
          {"protocol.heartbeat_cpu", "us",
           "heartbeats, both datagrams encoded and decoded", counts,
           MicrosecondsOfCodec},
          {"heartbeat.peer_memory", "bytes", "agents with two sessions", agents,
           BytesOfPeers},
          {"heartbeat.sender_cpu", "us", "heartbeats, sent and answered",
           agents, MicrosecondsOfSender},
          {"agent.heartbeat_cpu",
           "us",
           "heartbeats of two sessions",
           {25, 50, 100, 200},
           MicrosecondsOfAgent}};
}

}  // namespace acacialug::scale
