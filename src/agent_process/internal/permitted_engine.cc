#include "agent_process/permitted_engine.h"

#include <utility>
#include <variant>

namespace acacialug::agent_process {

PermittedEngine::PermittedEngine(Options engine_options)
    : options(std::move(engine_options)) {
  this->options.engine->SetOnEvent(
      [this](const engine::EngineEvent& event) { this->OnEvent(event); });
}

void PermittedEngine::SetOnEvent(
    std::function<void(const engine::EngineEvent&)> event_hook) {
  this->on_event = std::move(event_hook);
}

void PermittedEngine::Execute(const engine::EngineCommand& command) {
  if (const auto* order = std::get_if<engine::Order>(&command)) {
    this->Order(*order);
  } else {
    this->options.engine->Execute(command);
  }
}

void PermittedEngine::Order(const engine::Order& order) {
  if (this->options.now() < this->permit_ends) {
    this->ordered = true;
    this->options.engine->Execute(order);
    return;
  }
  if (std::exchange(this->permit_requested, true)) {
    return;  // the answer to the first order covers this one
  }
  this->options.store->Acquire(
      this->options.endpoint,
      [this, fencing_token = order.fencing_token,
       weak = std::weak_ptr(this->alive)](const Result<Duration>& permit) {
        if (weak.expired()) {
          return;
        }
        this->permit_requested = false;
        if (permit.ok()) {
          this->ordered = false;
          this->permit_ends = this->options.now() + *permit;
        }
        this->on_event(engine::OrderDone{
            .fencing_token = fencing_token,
            .code = permit.ok() ? ResultCode::kOverloaded
                                : permit.error().result_code()});
      });
}

void PermittedEngine::OnEvent(const engine::EngineEvent& event) {
  const auto* state = std::get_if<engine::EngineState>(&event);
  const bool loaded =
      state != nullptr && state->code == ResultCode::kOk && !state->loading;
  if (loaded && std::exchange(this->ordered, false)) {
    this->permit_ends = {};
    this->options.store->Release(this->options.endpoint);
  }
  this->on_event(event);
}

}  // namespace acacialug::agent_process
