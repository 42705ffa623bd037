#ifndef SCENARIO_INTERNAL_WEIGHT_PERMITS_H_
#define SCENARIO_INTERNAL_WEIGHT_PERMITS_H_

#include <functional>
#include <utility>

#include "cluster/i_weight_store.h"
#include "engine/i_engine.h"
#include "scenario/internal/engine_host.h"
#include "scenario/internal/event_queue.h"
#include "standin/platform_models.h"

namespace acacialug::scenario {

// The platform's weight store as one agent reaches it. Not thread safe.
class WeightPermits : public cluster::IWeightStore {
 public:
  // Runs tasks in the process while it is alive.
  using Later = std::function<void(std::function<void()>)>;

  WeightPermits(standin::WeightStoreModel& store_model,
                EventQueue& event_queue,
                std::function<Later()> later_in_process)
      : model(store_model),
        queue(event_queue),
        later(std::move(later_in_process)) {}

  void Acquire(const EndpointId& endpoint,
               std::function<void(Result<Duration>)> on_done) override {
    this->queue.After(kRoundTrip, [this, endpoint, in_process = this->later(),
                                   on_done = std::move(on_done)] {
      in_process(
          [on_done, permit = this->model.Acquire(endpoint, this->queue.now())] {
            on_done(permit);
          });
    });
  }
  void Release(const EndpointId& endpoint) override {
    this->model.Release(endpoint);
  }

 private:
  static constexpr Duration kRoundTrip = 2ms;

  standin::WeightStoreModel& model;
  EventQueue& queue;
  std::function<Later()> later;
};

// The engine host as an adapter of the agent's process.
class HostedEngine : public engine::IEngine {
 public:
  explicit HostedEngine(EngineHost& engine_host) : host(engine_host) {}

  void Execute(const engine::EngineCommand& command) override {
    this->host.Execute(command);
  }
  void SetOnEvent(
      std::function<void(const engine::EngineEvent&)> event_hook) override {
    this->on_event = std::move(event_hook);
  }
  void Tell(const engine::EngineEvent& event) const { this->on_event(event); }

 private:
  EngineHost& host;
  std::function<void(const engine::EngineEvent&)> on_event;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_WEIGHT_PERMITS_H_
