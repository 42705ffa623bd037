#ifndef AGENT_PROCESS_PERMITTED_ENGINE_H_
#define AGENT_PROCESS_PERMITTED_ENGINE_H_

#include <functional>
#include <memory>

#include "cluster/i_weight_store.h"
#include "engine/i_engine.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent_process {

// An engine whose orders wait for a permit of the weight store: a new version
// makes every agent order at once, and a store of limited rate would starve
// all of their loads. An order without a permit is answered kOverloaded, also
// when the permit came meanwhile: whoever ordered looks again at what is
// wanted before it orders again, so an order never waits here and grows old.
// The permit is given back when the engine is read as loading no more, or
// ends by its own lease. Everything else passes through. One thread, that of
// the engine and the store.
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
  Instant permit_ends{};  // not held at or after
  bool asking = false;
  bool ordered = false;  // under the permit that is held
  // Answers that come after this object's end are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_PERMITTED_ENGINE_H_
