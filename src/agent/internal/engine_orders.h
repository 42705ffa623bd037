#ifndef AGENT_INTERNAL_ENGINE_ORDERS_H_
#define AGENT_INTERNAL_ENGINE_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "engine/types/engine_messages.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "maintenance/maintenance_queue_client.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent {

// Brings the engine to the state in the active manifest. Reads the engine's
// state, orders only what differs, and reads again afterwards: an engine that
// ignores fencing tokens may have obeyed an older order in between, which only
// a reading shows. Not thread safe.
class EngineOrders {
 public:
  struct Options {
    Duration check_interval = 10s;  // between two readings of a confirmed state
    Duration answer_timeout = 5s;
    Duration min_retry = 500ms;  // doubled up to `max_retry`
    Duration max_retry = 10s;
    // The wait for running work before a disturbing order: as long as a call
    // may take, so that the order cuts off no answer.
    Duration max_wait = 10min;
    // An order that takes a serving endpoint out of service waits for
    // SetMaintenanceGranted.
    bool use_maintenance_queue = false;
  };

  // The state that a manifest requires of an endpoint's engine; empty when it
  // requires none (plain services).
  static std::optional<engine::Order> WantedBy(
      const manifest::Manifest& manifest,
      const manifest::Endpoint& endpoint);

  EngineOrders(Options order_options, RandomSource& random_source)
      : options(order_options), random(random_source) {}

  // Replaces the wanted state. `fencing_token` never decreases.
  void SetWanted(engine::Order order, Instant now);

  // The endpoint's intent for its pool's maintenance queue.
  maintenance::MaintenanceIntent maintenance_intent() const;
  // Sets whether the endpoint may be taken out of service for an order now;
  // with `use_maintenance_queue` an endpoint that serves an older version
  // continues to serve it until then.
  void SetMaintenanceGranted(bool granted, Instant now);

  // The command that is due. `idle`: the engine runs nothing, so another model
  // or role cuts off no request. Call after every input.
  std::optional<engine::EngineCommand> TakeDue(bool idle, Instant now);

  void OnState(const engine::EngineState& state, Instant now);
  void OnOrderDone(const engine::OrderDone& done, Instant now);

  // False while the engine is known to load or to have another model, version
  // or role: its answers would be wrong. An engine whose state was never read
  // counts as fit.
  bool fit() const { return this->engine_fits && !this->LeavesService(); }
  // An order has taken the endpoint out of service, or is about to.
  bool out() const { return this->ordered || this->LeavesService(); }
  // The wanted state was read from the engine.
  bool confirmed() const { return this->state_confirmed; }
  Instant next_timer() const;

 private:
  enum class Step : std::uint8_t { kRead, kOrder };

  // The engine serves its present version while it waits for an update.
  bool NeedsMaintenance(const engine::EngineState& state) const;
  bool LeavesService() const {
    return this->maintenance_granted && this->needs_maintenance &&
           this->disturbs;
  }
  bool SameModel(const engine::EngineState& state) const;
  void RetryReading(Instant now);
  void ReadAt(Instant when);

  Options options;
  RandomSource& random;
  std::optional<engine::Order> wanted;
  Step step = Step::kRead;
  Instant due = kNever;
  Instant order_by = kNever;  // latest end of a disturbing order's wait
  bool disturbs = false;
  bool needs_maintenance = false;
  bool maintenance_granted = false;
  bool ordered = false;  // under a grant; state not read since then
  bool engine_fits = true;
  bool state_confirmed = false;
  Duration retry{};
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ENGINE_ORDERS_H_
