#include <map>
#include <set>

#include "agent/tests/agent_bench.h"

namespace acacialug::agent {
namespace {

using protocol::OnceKind;
using protocol::Phase;
using testing::ForEach;

// Sends random inputs in random order and checks the invariants that hold in
// every order. Identifiers come from small ranges, so that they collide. A run
// is reproducible from its seed.
class RandomRun {
 public:
  RandomRun(std::uint64_t run_seed, EndpointRole role)
      : seed(run_seed),
        random(run_seed),
        options{.role = role,
                .kv_tokens = 400,
                .slots = 3,
                .link_bytes_per_second = this->Coin() ? 10000u : 0u,
                .reservation = static_cast<ReservationPolicy>(this->Pick(3)),
                .order = static_cast<PrefillOrder>(this->Pick(3)),
                .feasibility_counts_queue = this->Coin(),
                .queue_limit = 3},
        bench(this->options) {}

  void Run(std::uint64_t steps) {
    for (this->step = 0; this->step < steps; ++this->step) {
      this->bench.now += Duration(this->Pick(100000));
      if (this->Pick(100) == 0) {
        this->bench.now += 4s;
      }
      this->Step();
      this->Check();
    }
    this->bench.core.OnSessionClosed(SessionId(1), this->bench.now);
    this->bench.core.OnSessionClosed(SessionId(2), this->bench.now);
    this->bench.now += 1h;
    this->bench.core.OnTimer(this->bench.now);
    this->Check();
    this->Assert(this->bench.core.held_attempts().empty(), "all is freed");
    this->Assert(this->running.empty(), "nothing runs in the engine");
  }

 private:
  std::uint64_t Pick(std::uint64_t bound) { return this->random.Below(bound); }
  bool Coin() { return this->Pick(2) == 0; }
  void Assert(bool holds, const char* invariant) {
    CPPUNIT_ASSERT_MESSAGE(
        std::string(invariant) + ", seed " + std::to_string(this->seed), holds);
  }

  AttemptId AnyAttempt() {
    return Attempt(this->step / 5 + this->Pick(8), 1 + this->Pick(3),
                   this->incarnations[this->session.value]);
  }
  AttemptId AnyRunning() {
    if (this->running.empty() || this->Pick(10) == 0) {
      return this->AnyAttempt();
    }
    auto chosen = this->running.begin();
    std::advance(chosen, this->Pick(this->running.size()));
    return *chosen;
  }
  protocol::Once AnyOnce() {
    const std::uint64_t key = this->Pick(40);
    return {.kind = key == 0 ? OnceKind::kIdempotent : OnceKind::kTicket,
            .key_low = key,
            .fingerprint = this->Pick(8) == 0 ? 1u : 0u,
            .home = kHome};
  }

  Duration Within(std::uint64_t milliseconds) {
    return Duration(this->Pick(1000 * milliseconds));
  }
  void Send(const protocol::EntryToAgent& message) {
    this->bench.Send(message, this->session);
  }

  void Step() {
    this->session = SessionId(1 + this->Pick(2));
    const AttemptId attempt = this->AnyAttempt();
    const protocol::Once once = this->AnyOnce();
    switch (this->Pick(14)) {
      case 0:
        return this->Send(protocol::Reserve{attempt, this->Pick(300),
                                            this->Pick(9000), this->Within(900),
                                            this->Within(3000)});
      case 1:
        return this->Send(protocol::StartDecode{
            .attempt = attempt,
            .generation = {.max_tokens = 50},
            .kv_tokens = this->Pick(300),
            .window_chunks = std::uint32_t(this->Pick(4))});
      case 2:
        return this->Send(
            protocol::StartPrefill{.attempt = attempt,
                                   .prefix = {this->Pick(3), this->Pick(3)},
                                   .prompt_tokens = this->Pick(20000),
                                   .finish_within = this->Within(4000)});
      case 3:
      case 4:  // the target carries the key, so that its runs are counted
        return this->Send(
            protocol::StartCall{attempt,
                                {.target = std::to_string(once.key_low)},
                                once,
                                this->Within(900),
                                this->Within(3000)});
      case 5:
        return this->Send(protocol::LookUp{attempt, once});
      case 6:
        return this->Send(protocol::Cancel{this->AnyRunning()});
      case 7:
        return this->Send(protocol::Acknowledge{this->AnyRunning(),
                                                SequenceNumber(this->Pick(9))});
      case 8:
        return this->bench.core.OnSessionClosed(this->session, this->bench.now);
      case 9:
        return this->Reconnect();
      case 10:
        return this->bench.core.OnTimer(this->bench.now);
      default:
        return this->DeliverEngineEvent();
    }
  }

  void Reconnect() {
    const std::uint64_t number = this->session.value;
    this->incarnations[number] = Incarnation(100 * number + this->Pick(2));
    this->bench.Connect(this->session, this->incarnations[number],
                        number == 1 ? "e1" : "e2");
  }

  void DeliverEngineEvent() {
    const AttemptId attempt = this->AnyRunning();
    switch (this->Pick(6)) {
      case 0:
        this->EndIn(Phase::kPrefill, attempt);
        return this->bench.Deliver(engine::PrefillDone{
            .attempt = attempt, .usage = {.prompt_tokens = 1000}});
      case 1:
        this->EndIn(Phase::kDecode, attempt);
        return this->bench.Deliver(engine::StreamDone{attempt});
      case 2:
        this->EndIn(Phase::kCall, attempt);
        return this->bench.Deliver(engine::CallDone{.attempt = attempt});
      case 3: {
        const Outcome outcome =
            this->Coin() ? Outcome::kNotRun : Outcome::kUnknown;
        if (this->running.erase(attempt) != 0 && outcome == Outcome::kNotRun) {
          this->ran_keys.erase(this->key_of[attempt]);
        }
        return this->bench.Deliver(
            engine::AttemptFailed{attempt, ResultCode::kEngineFailed, outcome});
      }
      default:
        return this->bench.Deliver(engine::Text{attempt, "x", 1});
    }
  }

  // An event of a phase in which the attempt was not started changes nothing.
  void EndIn(Phase phase, const AttemptId& attempt) {
    if (this->started.contains({attempt, phase})) {
      this->running.erase(attempt);
    }
  }

  void Check() {
    for (const AgentAction& action : this->bench.core.TakeActions()) {
      if (const auto* execute = std::get_if<ExecuteOnEngine>(&action)) {
        this->CheckCommand(execute->command);
      } else if (const auto* send = std::get_if<SendToEntry>(&action)) {
        this->CheckMessage(send->message);
      }
    }
    const auto load = this->bench.core.load(this->bench.now);
    this->Assert(load.free_kv_tokens <= load.total_kv_tokens,
                 "memory is never negative");
    this->Assert(this->running.size() <= this->options.slots,
                 "the engine gets no more than its slots");
    this->bench.core.OnTimer(this->bench.now);
    this->Assert(this->bench.core.next_timer() > this->bench.now,
                 "a timer that has run is not due again at once");
  }

  void CheckCommand(const engine::EngineCommand& command) {
    if (const auto* prefill = std::get_if<engine::Prefill>(&command)) {
      this->Started(prefill->attempt, Phase::kPrefill);
    } else if (const auto* decode = std::get_if<engine::Decode>(&command)) {
      this->Started(decode->attempt, Phase::kDecode);
    } else if (const auto* call = std::get_if<engine::Call>(&command)) {
      this->Started(call->attempt, Phase::kCall);
      const std::string& key = call->request.target;
      this->Assert(key == "0" || this->ran_keys.insert(key).second,
                   "a key runs once");
      this->key_of[call->attempt] = key;
    } else if (const auto* abort = std::get_if<engine::Abort>(&command)) {
      this->running.erase(abort->attempt);
    } else if (std::holds_alternative<engine::ListHeld>(command)) {
      this->bench.Deliver(
          engine::Held{{this->running.begin(), this->running.end()}});
    }
  }

  void Started(const AttemptId& attempt, Phase phase) {
    this->Assert(this->started.emplace(attempt, phase).second,
                 "an attempt starts once");
    this->Assert(!this->refused.contains({attempt, phase}),
                 "what was refused does not run");
    this->running.insert(attempt);
  }

  void CheckMessage(const protocol::AgentToEntry& message) {
    if (const auto* refused = std::get_if<protocol::Refused>(&message)) {
      this->Assert(!this->started.contains({refused->attempt, refused->phase}),
                   "what is refused did not run");
      this->refused.emplace(refused->attempt, refused->phase);
    } else if (const auto* chunk = std::get_if<protocol::Chunk>(&message)) {
      this->Assert(chunk->sequence.value == this->chunks[chunk->attempt]++,
                   "chunks come once and in order");
    } else if (const auto* ended = std::get_if<protocol::Ended>(&message)) {
      this->Assert(ended->chunks.value == this->chunks[ended->attempt],
                   "an answer ends when it is whole");
    }
  }

  std::uint64_t seed;
  RandomSource random;
  AgentOptions options;
  AgentBench bench;
  std::uint64_t step = 0;
  SessionId session;
  std::map<std::uint64_t, Incarnation> incarnations{{1, kEntry}};
  std::set<AttemptId> running;  // in the engine
  std::set<std::pair<AttemptId, Phase>> started;
  std::set<std::pair<AttemptId, Phase>> refused;
  std::map<AttemptId, std::uint64_t> chunks;
  std::map<AttemptId, std::string> key_of;
  std::set<std::string> ran_keys;
};

const testing::Story kRandom(
    "an agent that receives any messages in any order",
    {ForEach<EndpointRole>(
        "keeps its invariants as",
        {EndpointRole::kPrefill, EndpointRole::kDecode, EndpointRole::kPlain},
        [](const EndpointRole& role) {
          return std::string(NameOf(protocol::kEndpointRoleNames, role));
        },
        [](const EndpointRole& role) {
          for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            RandomRun(seed, role).Run(200);
          }
        })});

}  // namespace
}  // namespace acacialug::agent
