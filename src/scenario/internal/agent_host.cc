#include "scenario/internal/agent_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "scenario/internal/checker.h"
#include "scenario/internal/entry_host.h"
#include "scenario/internal/network.h"

namespace acacialug::scenario {

AgentHost::AgentHost(EngineHost& engine_host,
                     std::uint64_t seed,
                     const SimulationParts& simulation_parts)
    : Process(engine_host.endpoint()),
      parts(simulation_parts),
      engine(engine_host),
      random(seed),
      start(this->random.NextIncarnation()),
      // As in the agent's program: thousands of agents must not poll the log.
      manifests({.author = this->Name(), .follow_stream = false},
                seed,
                simulation_parts.queue,
                simulation_parts.log,
                this->FeedHooks()),
      decisions(
          std::make_unique<agent::AgentCore>(this->Options(), this->random)) {}

agent::AgentOptions AgentHost::Options() {
  const SimulationOptions& simulation = this->parts.options;
  return {.endpoint = EndpointId(this->Name()),
          .incarnation = this->start,
          .domain = FailureDomain("a"),
          .role = this->engine.role(),
          .kv_tokens = this->engine.role() == protocol::EndpointRole::kDecode
                           ? simulation.kv_tokens
                           : 0,
          .slots = simulation.slots,
          .use_maintenance_queue = true,
          .rules = simulation.rules.agent};
}

ManifestFeed::Hooks AgentHost::FeedHooks() {
  return {.later = [this] { return this->Later(); },
          .put_in_force =
              [this](const configuration::AcceptedManifest& accepted) {
                this->parts.checker.OnManifest(this->Name(), this->start.value,
                                               *accepted.manifest);
                this->decisions->OnManifest(accepted.manifest,
                                            this->parts.queue.now());
              },
          .query_peer = this->parts.peer_manifest};
}

void AgentHost::UsePermits() {
  auto engine_adapter = std::make_unique<HostedEngine>(this->engine);
  this->hosted = engine_adapter.get();
  this->permitted = std::make_unique<agent_process::PermittedEngine>(
      agent_process::PermittedEngine::Options{
          .endpoint = EndpointId(this->Name()),
          .engine = std::move(engine_adapter),
          .store = std::make_unique<WeightPermits>(
              *this->parts.weights, this->parts.queue,
              [this] { return this->Later(); }),
          .now = [this] { return this->parts.queue.now(); }});
  this->permitted->SetOnEvent([this](const engine::EngineEvent& event) {
    this->decisions->OnEngineEvent(event, this->parts.queue.now());
  });
}

void AgentHost::Start() {
  if (this->parts.weights != nullptr) {
    this->UsePermits();
  }
  this->Feed([this] {
    const Instant now = this->parts.queue.now();
    this->decisions->AcceptHeartbeats(1);
    this->decisions->Start(now);
    this->manifests.follower().Start(now);
  });
}

void AgentHost::OnOpened(agent::SessionId session) {
  this->Feed([this, session] {
    this->decisions->OnSessionOpened(session, this->parts.queue.now());
  });
}

void AgentHost::OnClosed(agent::SessionId session) {
  this->Feed([this, session] {
    this->decisions->OnSessionClosed(session, this->parts.queue.now());
  });
}

void AgentHost::OnMessage(agent::SessionId session,
                          const protocol::EntryToAgent& message) {
  this->Feed([this, session, message] {
    const Instant now = this->parts.queue.now();
    this->parts.checker.OnArrival(EndpointId(this->Name()), message);
    this->decisions->OnMessage(session, message, now);
    this->FollowPeers(now);
  });
}

void AgentHost::OnHeartbeat(const std::weak_ptr<EntryHost>& from,
                            const protocol::Heartbeat& heartbeat) {
  this->Feed([this, from, heartbeat] {
    const Instant now = this->parts.queue.now();
    const auto answer = this->decisions->OnHeartbeat(heartbeat, now);
    const auto entry = from.lock();
    if (answer && entry != nullptr) {
      this->parts.network.AnswerHeartbeat(entry, EndpointId(this->Name()),
                                          *answer);
    }
    this->FollowPeers(now);
  });
}

void AgentHost::FollowPeers(Instant now) {
  const LogOffset heard = this->decisions->newest_reported_manifest();
  if (this->parts.options.rules.learn_manifests &&
      heard > this->manifests.follower().offset()) {
    this->manifests.follower().OnPeerOffset(heard, now);
  }
}

void AgentHost::OnEngineEvent(const engine::EngineEvent& event) {
  this->parts.checker.OnEngineEvent(EndpointId(this->Name()), event);
  this->Feed([this, event] {
    if (this->hosted != nullptr) {
      this->hosted->Tell(event);
    } else {
      this->decisions->OnEngineEvent(event, this->parts.queue.now());
    }
  });
}

void AgentHost::Drain() {
  this->Feed([this] {
    this->parts.checker.OnDrain(EndpointId(this->Name()));
    this->decisions->BeginDrain(this->parts.queue.now());
  });
}

void AgentHost::Pump() {
  this->manifests.follower().SetAlone(this->decisions->has_no_sessions(),
                                      this->parts.queue.now());
  this->manifests.Pump();
  for (const agent::AgentAction& action : this->decisions->TakeActions()) {
    std::visit([this](const auto& typed) { this->Run(typed); }, action);
  }
}

Instant AgentHost::DueAt() const {
  return std::min(this->decisions->next_timer(),
                  this->manifests.follower().next_timer());
}

void AgentHost::OnDue() {
  const Instant now = this->parts.queue.now();
  if (this->manifests.follower().next_timer() <= now) {
    this->manifests.follower().OnTimer(now);
  }
  if (this->decisions->next_timer() <= now) {
    this->decisions->OnTimer(now);
  }
}

std::function<void(std::function<void()>)> AgentHost::Later() {
  return [weak = this->weak_from_this()](std::function<void()> task) {
    if (const auto self = weak.lock()) {
      self->Feed(std::move(task));
    }
  };
}

void AgentHost::Run(const agent::SendToEntry& action) {
  this->parts.checker.OnAgentMessage(EndpointId(this->Name()), action.message);
  this->parts.network.ToEntry(action.session, action.message);
}

void AgentHost::Run(const agent::CloseSession& action) {
  this->parts.network.Close(action.session);
}

void AgentHost::Run(const agent::ExecuteOnEngine& action) {
  this->parts.checker.OnCommand(EndpointId(this->Name()), action.command);
  if (this->permitted != nullptr) {
    this->permitted->Execute(action.command);
  } else {
    this->engine.Execute(action.command);
  }
}

void AgentHost::Run(const agent::ReadMaintenanceStream& action) {
  this->parts.log.ReadFrom(
      action.stream, action.from, Duration::zero(),
      [this, later = this->Later()](const Result<cluster::ILog::Read>& result) {
        later([this, result] {
          this->decisions->OnMaintenanceRead(result, this->parts.queue.now());
        });
      });
}

void AgentHost::Run(const agent::AppendMaintenanceRecord& action) {
  this->parts.log.Append(
      action.stream, action.payload,
      [this, later = this->Later()](const Result<LogOffset>& result) {
        later([this, result] {
          this->decisions->OnMaintenanceAppended(result,
                                                 this->parts.queue.now());
        });
      });
}

}  // namespace acacialug::scenario
