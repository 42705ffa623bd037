#ifndef SCENARIO_INTERNAL_AGENT_HOST_H_
#define SCENARIO_INTERNAL_AGENT_HOST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "agent/agent_core.h"
#include "agent_process/permitted_engine.h"
#include "scenario/internal/engine_host.h"
#include "scenario/internal/manifest_feed.h"
#include "scenario/internal/process.h"
#include "scenario/internal/simulation_parts.h"
#include "scenario/internal/weight_permits.h"

namespace acacialug::scenario {

class EntryHost;

// One start of an agent. Not thread safe.
class AgentHost : public Process,
                  public std::enable_shared_from_this<AgentHost> {
 public:
  // `engine_host` outlives this.
  AgentHost(EngineHost& engine_host,
            std::uint64_t seed,
            const SimulationParts& simulation_parts);

  // Call once, after construction.
  void Start();

  protocol::EndpointRole role() const { return this->engine.role(); }
  agent::AgentCore& core() { return *this->decisions; }
  const agent::AgentCore& core() const { return *this->decisions; }
  ManifestFeed& feed() { return this->manifests; }
  const ManifestFeed& feed() const { return this->manifests; }

  // Input of the network and the engine. It is handled at once, or when a pause
  // ends.
  void OnOpened(agent::SessionId session);
  void OnClosed(agent::SessionId session);
  void OnMessage(agent::SessionId session,
                 const protocol::EntryToAgent& message);
  void OnHeartbeat(const std::weak_ptr<EntryHost>& from,
                   const protocol::Heartbeat& heartbeat);
  void OnEngineEvent(const engine::EngineEvent& event);
  void Drain();

 protected:
  void Pump() override;
  Instant DueAt() const override;
  void OnDue() override;

 private:
  agent::AgentOptions Options();
  ManifestFeed::Hooks FeedHooks();
  std::function<void(std::function<void()>)> Later();

  void FollowPeers(Instant now);
  // Inserts the real rules for permits between the decisions and the engine.
  void UsePermits();

  void Run(const agent::SendToEntry& action);
  void Run(const agent::CloseSession& action);
  void Run(const agent::ExecuteOnEngine& action);
  void Run(const agent::ReadMaintenanceStream& action);
  void Run(const agent::AppendMaintenanceRecord& action);

  SimulationParts parts;
  EngineHost& engine;
  RandomSource random;
  Incarnation start;
  ManifestFeed manifests;
  std::unique_ptr<agent::AgentCore> decisions;
  HostedEngine* hosted = nullptr;  // owned by `permitted`
  std::unique_ptr<agent_process::PermittedEngine> permitted;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_AGENT_HOST_H_
