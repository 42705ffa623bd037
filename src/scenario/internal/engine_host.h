#ifndef SCENARIO_INTERNAL_ENGINE_HOST_H_
#define SCENARIO_INTERNAL_ENGINE_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "protocol/types/messages.h"
#include "scenario/internal/event_queue.h"
#include "scenario/types/simulation_options.h"
#include "standin/fakes/modelled_engine.h"

namespace acacialug::scenario {

// The engine or plain service beside an agent. It outlives the agent's process.
// Not thread safe.
class EngineHost {
 public:
  using OnEvent = std::function<void(const engine::EngineEvent&)>;

  // All references outlive the host.
  EngineHost(std::string endpoint_id,
             protocol::EndpointRole endpoint_role,
             const SimulationOptions& options,
             EventQueue& event_queue,
             RandomSource& random,
             standin::KvNetwork& network,
             OnEvent on_event);

  const std::string& endpoint() const { return this->id; }
  protocol::EndpointRole role() const { return this->endpoint_role; }

  void Execute(const engine::EngineCommand& command);
  Instant next_event() const;
  void Deliver();

  // ---- faults; none of them applies to a plain service ----
  void Stall(Duration length);
  void Restart();
  void StallTransfers(bool is_out);
  bool stalled() const;
  bool loading() const;
  // The version of its model.
  std::string version() const;

  // ---- for the checker ----
  std::vector<standin::HeldRequest> held() const;
  // How often the plain service ran the work with this marker.
  std::uint64_t executions(const std::string& marker) const;

 private:
  std::string id;
  protocol::EndpointRole endpoint_role;
  EventQueue& queue;
  std::unique_ptr<standin::ModelledEngine> model;
  std::unique_ptr<standin::ModelledService> service;
  OnEvent event_hook;
  Instant stalled_until{};
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_ENGINE_HOST_H_
