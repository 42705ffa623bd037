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

// Brings the engine to what the manifest in force says. Reads the engine's
// state, orders only what differs, and reads again afterwards: an engine that
// ignores fencing numbers may have obeyed an older order in between, and only
// reading tells. Not thread safe.
class EngineOrders {
 public:
  struct Options {
    Duration check_interval = 10s;  // between two readings when all is well
    Duration answer_timeout = 5s;
    Duration min_retry = 500ms;  // doubled up to `max_retry`
    Duration max_retry = 10s;
    // For what runs, before a disturbing order: as long as a call may take, so
    // that no answer is cut off by it.
    Duration max_wait = 10min;
    // An order that takes a serving endpoint out waits for
    // SetMaintenanceGranted.
    bool use_maintenance_queue = false;
  };

  // The state that a manifest asks of an endpoint's engine; empty when it
  // asks none (plain services).
  static std::optional<engine::Order> WantedBy(
      const manifest::Manifest& manifest,
      const manifest::Endpoint& endpoint);

  EngineOrders(Options order_options, RandomSource& random_source)
      : options(order_options), random(random_source) {}

  // Replaces what was wanted before. `fencing_token` never goes back.
  void SetWanted(engine::Order order, Instant now);

  // What to say of the endpoint in its pool's order of turns.
  maintenance::MaintenanceIntent maintenance_intent() const;
  // Whether the endpoint may be taken out for an order now; with
  // `use_maintenance_queue` an endpoint that serves an older version goes on
  // serving it until then.
  void SetMaintenanceGranted(bool granted, Instant now);

  // The command that is due. `idle`: the engine runs nothing, so that another
  // model or role cuts no request off. Call after every input.
  std::optional<engine::EngineCommand> TakeDue(bool idle, Instant now);

  void OnState(const engine::EngineState& state, Instant now);
  void OnOrderDone(const engine::OrderDone& done, Instant now);

  // False while the engine is known to load or to have another model,
  // version or role: its answers would be wrong ones. An engine whose state
  // was never read counts as fit.
  bool fit() const { return this->engine_fits && !this->LeavesService(); }
  // An order has taken the endpoint out of service, or is about to.
  bool out() const { return this->ordered || this->LeavesService(); }
  // The wanted state was read from the engine.
  bool confirmed() const { return this->state_confirmed; }
  Instant next_timer() const;

 private:
  enum class Step : std::uint8_t { kRead, kOrder };

  // It serves what it has, while it waits to be brought up to date.
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
  Instant order_by = kNever;  // a disturbing order waits at most until then
  bool disturbs = false;
  bool needs_maintenance = false;
  bool maintenance_granted = false;
  bool ordered = false;  // under a turn; the engine's state not yet read since
  bool engine_fits = true;
  bool state_confirmed = false;
  Duration retry{};
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ENGINE_ORDERS_H_
