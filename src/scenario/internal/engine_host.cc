#include "scenario/internal/engine_host.h"

#include <utility>
#include <variant>

namespace acacialug::scenario {

using protocol::EndpointRole;

EngineHost::EngineHost(std::string endpoint_id,
                       EndpointRole role_of_endpoint,
                       const SimulationOptions& options,
                       EventQueue& event_queue,
                       RandomSource& random,
                       standin::KvNetwork& network,
                       OnEvent on_event)
    : id(std::move(endpoint_id)),
      endpoint_role(role_of_endpoint),
      queue(event_queue),
      event_hook(std::move(on_event)) {
  const auto now = [this] { return this->queue.now(); };
  if (this->endpoint_role == EndpointRole::kPlain) {
    this->service = std::make_unique<standin::ModelledService>(
        standin::ModelledService::Options{
            .service = {.id = this->id,
                        .mean_time = options.call_time,
                        .concurrency = options.slots},
            .now = now},
        random);
    this->service->SetOnEvent(this->event_hook);
    return;
  }
  const bool decodes = this->endpoint_role == EndpointRole::kDecode;
  this->model = std::make_unique<standin::ModelledEngine>(
      standin::ModelledEngine::Options{
          .engine = {.id = this->id,
                     .role = decodes ? standin::EngineRole::kDecode
                                     : standin::EngineRole::kPrefill,
                     .model = "m",
                     .load_time = options.load_time,
                     .slots = options.slots,
                     .kv_tokens = decodes ? options.kv_tokens : 0},
          .now = now},
      random, network);
  this->model->SetOnEvent(this->event_hook);
}

void EngineHost::Execute(const engine::EngineCommand& command) {
  if (this->model) {
    this->model->Execute(command);
  } else if (std::holds_alternative<engine::ListHeld>(command)) {
    // As the adapter of plain services, which has nothing to list.
    this->queue.After(Duration::zero(),
                      [this] { this->event_hook(engine::Held{}); });
  } else {
    this->service->Execute(command);
  }
  // The immediate results of the command are delivered only on request.
  this->queue.After(Duration::zero(), [this] { this->Deliver(); });
}

Instant EngineHost::next_event() const {
  return this->model ? this->model->next_event() : this->service->next_event();
}

void EngineHost::Deliver() {
  if (this->model) {
    this->model->Deliver();
  } else {
    this->service->Deliver();
  }
}

void EngineHost::Stall(Duration length) {
  if (!this->model) {
    return;
  }
  this->stalled_until = this->queue.now() + length;
  this->model->engine_model().Stall(this->stalled_until, this->queue.now());
  this->queue.At(this->stalled_until, [this] { this->Deliver(); });
}

void EngineHost::Restart() {
  if (this->model) {
    this->model->engine_model().Restart(this->queue.now());
    this->Deliver();
  }
}

void EngineHost::StallTransfers(bool is_out) {
  if (this->model) {
    this->model->engine_model().SetFaults({.link_factor = is_out ? 0.0 : 1.0},
                                          this->queue.now());
  }
}

bool EngineHost::stalled() const {
  return this->queue.now() < this->stalled_until;
}

bool EngineHost::loading() const {
  return this->model &&
         this->model->engine_model().state(this->queue.now()).loading;
}

std::string EngineHost::version() const {
  return this->model ? this->model->engine_model()
                           .state(this->queue.now())
                           .order.version
                     : "";
}

std::vector<standin::HeldRequest> EngineHost::held() const {
  return this->model ? this->model->engine_model().held()
                     : std::vector<standin::HeldRequest>{};
}

std::uint64_t EngineHost::executions(const std::string& marker) const {
  if (!this->service) {
    return 0;
  }
  const auto& begun = this->service->service_model().executions();
  const auto found = begun.find(marker);
  return found == begun.end() ? 0 : found->second;
}

}  // namespace acacialug::scenario
