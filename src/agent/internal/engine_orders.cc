#include "agent/internal/engine_orders.h"

#include <algorithm>
#include <utility>

namespace acacialug::agent {
namespace {

std::vector<std::string> Sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace

std::optional<engine::Order> EngineOrders::WantedBy(
    const manifest::Manifest& manifest,
    const manifest::Endpoint& endpoint) {
  const manifest::Service* service = manifest.FindService(endpoint.service);
  if (service == nullptr || service->kind != manifest::ServiceKind::kModel ||
      service->models.empty()) {
    return std::nullopt;
  }
  engine::Order order{
      .fencing_token = manifest.offset,
      .model = service->models.front(),
      .version = service->model_version,
      .role = std::string(NameOf(protocol::kEndpointRoleNames, endpoint.role))};
  for (const manifest::Adapter& adapter : service->adapters) {
    order.adapters.push_back(adapter.name + ":" + adapter.version);
  }
  return order;
}

void EngineOrders::SetWanted(engine::Order order, Instant now) {
  if (this->wanted && order.fencing_token < this->wanted->fencing_token) {
    return;
  }
  this->wanted = std::move(order);
  this->state_confirmed = false;
  this->retry = this->options.min_retry;
  this->ReadAt(now);
}

maintenance::MaintenanceIntent EngineOrders::maintenance_intent() const {
  if (this->state_confirmed) {
    return maintenance::MaintenanceIntent::kNone;
  }
  return this->needs_maintenance ? maintenance::MaintenanceIntent::kEnter
                                 : maintenance::MaintenanceIntent::kKeep;
}

void EngineOrders::SetMaintenanceGranted(bool granted, Instant now) {
  if (granted && !this->maintenance_granted) {
    this->order_by = now + this->options.max_wait;
  }
  this->maintenance_granted = granted;
}

std::optional<engine::EngineCommand> EngineOrders::TakeDue(bool idle,
                                                           Instant now) {
  if (!this->wanted) {
    return std::nullopt;
  }
  const bool waits_for_maintenance =
      this->needs_maintenance && !this->maintenance_granted;
  if (this->step == Step::kOrder &&
      !(waits_for_maintenance && this->due <= now)) {
    if (waits_for_maintenance) {
      return std::nullopt;
    }
    if (this->disturbs && !idle && now < this->order_by) {
      return std::nullopt;
    }
    // The wanted state is read here, at the time of sending: a newer manifest
    // may have arrived while the order waited.
    this->ReadAt(now + this->options.answer_timeout);
    if (this->needs_maintenance) {
      this->engine_fits = false;
      this->ordered = true;
    }
    return *this->wanted;
  }
  if (now < this->due) {
    return std::nullopt;
  }
  this->ReadAt(now + this->options.answer_timeout);
  return engine::ReadState{};
}

void EngineOrders::OnState(const engine::EngineState& state, Instant now) {
  if (!this->wanted || this->step != Step::kRead) {
    return;
  }
  if (state.code != ResultCode::kOk) {
    this->RetryReading(now);
    return;
  }
  const bool same_model = this->SameModel(state);
  this->needs_maintenance = this->NeedsMaintenance(state);
  this->ordered = this->ordered && state.loading;
  this->engine_fits = (same_model || this->needs_maintenance) && !state.loading;
  this->state_confirmed =
      same_model && !state.loading &&
      Sorted(state.adapters) == Sorted(this->wanted->adapters);
  if (this->state_confirmed) {
    this->needs_maintenance = false;
    this->retry = this->options.min_retry;
    this->ReadAt(now + this->options.check_interval);
    return;
  }
  if (state.loading) {
    this->ReadAt(now + this->options.min_retry);
    return;
  }
  // The engine's fencing token is higher: it follows a manifest that has not
  // reached this agent yet, and an order from here would revert it.
  if (state.fencing_token > this->wanted->fencing_token) {
    this->needs_maintenance = false;
    this->RetryReading(now);
    return;
  }
  this->step = Step::kOrder;
  this->disturbs = !same_model;
  this->order_by = now + this->options.max_wait;
  // The wait in the maintenance queue may be long, and the engine's state may
  // change meanwhile.
  this->due = now + this->options.check_interval;
}

void EngineOrders::OnOrderDone(const engine::OrderDone& done, Instant now) {
  if (!this->wanted || done.fencing_token != this->wanted->fencing_token) {
    return;
  }
  if (done.code == ResultCode::kOk) {
    this->ReadAt(now);
  } else {
    this->RetryReading(now);
  }
}

Instant EngineOrders::next_timer() const {
  if (!this->wanted) {
    return kNever;
  }
  if (this->step == Step::kRead ||
      (this->needs_maintenance && !this->maintenance_granted)) {
    return this->due;
  }
  return this->order_by;
}

// An engine of another model or role serves nothing that this endpoint is
// requested for, and neither does an engine that loads: an order to it removes
// no capacity from the pool. An engine of an older version, or without an
// adapter, does serve.
bool EngineOrders::NeedsMaintenance(const engine::EngineState& state) const {
  return this->options.use_maintenance_queue && !state.loading &&
         state.model == this->wanted->model && state.role == this->wanted->role;
}

bool EngineOrders::SameModel(const engine::EngineState& state) const {
  return state.model == this->wanted->model &&
         state.version == this->wanted->version &&
         state.role == this->wanted->role;
}

void EngineOrders::RetryReading(Instant now) {
  // The delay is spread, since a new version makes every agent order at the
  // same time from one weight store of limited rate.
  const double spread = 0.5 + this->random.Unit();
  this->ReadAt(now + FromSeconds(Seconds(this->retry) * spread));
  this->retry = std::min(2 * this->retry, this->options.max_retry);
}

void EngineOrders::ReadAt(Instant when) {
  this->step = Step::kRead;
  this->due = when;
}

}  // namespace acacialug::agent
