#ifndef AGENT_PROCESS_PERMITTED_ENGINE_H_
#define AGENT_PROCESS_PERMITTED_ENGINE_H_

#include <functional>
#include <memory>

#include "cluster/i_weight_store.h"
#include "engine/i_engine.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent_process {

// An engine whose orders need a permit of the weight store: a new version makes
// every agent order at once, and a store of limited rate would starve all of
// their loads. An order without a permit is answered kOverloaded, even when a
// permit has been acquired meanwhile: the sender of the order checks again what
// is wanted before it repeats the order, so an order never waits here until it
// is stale. The permit is released when the engine reports that it is no longer
// loading, or it ends with its lease. All other commands and events pass
// through. Runs on the one thread of the engine and the store.
class PermittedEngine : public engine::IEngine {
 public:
  struct Options {
    EndpointId endpoint;
    std::unique_ptr<engine::IEngine> engine;
    std::unique_ptr<cluster::IWeightStore> store;
    std::function<Instant()> now = MonotonicNow;
  };

  explicit PermittedEngine(Options engine_options);

  void Execute(const engine::EngineCommand& command) override;
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> event_hook) override;

 private:
  void Order(const engine::Order& order);
  void OnEvent(const engine::EngineEvent& event);

  Options options;
  std::function<void(const engine::EngineEvent&)> on_event;
  Instant permit_ends{};  // the permit isn't held from this instant on
  bool permit_requested = false;
  bool ordered = false;  // an order was sent under the held permit
  // Answers that arrive after this object's destruction are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_PERMITTED_ENGINE_H_
