#include "standin/fakes/modelled_engine.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "standin/internal/json_access.h"
#include "standin/reference_answer.h"

namespace acacialug::standin {
namespace {

using protocol::Outcome;

ResultCode CodeOf(EngineError error) {
  switch (error) {
    case EngineError::kMemoryFull:
      return ResultCode::kNoDecodeMemory;
    case EngineError::kQueueFull:
    case EngineError::kRefused:
      return ResultCode::kOverloaded;
    case EngineError::kLoading:
      return ResultCode::kNotReady;
    case EngineError::kWrongRole:
      return ResultCode::kWrongRole;
    case EngineError::kUnknownModel:
      return ResultCode::kUnknownModel;
    case EngineError::kContextTooLong:
      return ResultCode::kPromptTooLong;
    case EngineError::kDuplicate:
      return ResultCode::kInvalidParameter;
    case EngineError::kKvExpired:
      return ResultCode::kExportExpired;
    case EngineError::kFailed:
    case EngineError::kModelReplaced:
    case EngineError::kRestarted:
      break;
  }
  return ResultCode::kEngineFailed;
}

// The ids in the model are the texts of AttemptIds.
AttemptId AttemptOf(const std::string& request_id) {
  return ParseAttemptId(request_id).value_or(AttemptId{});
}

bool Concerns(const engine::EngineEvent& event, const AttemptId& attempt) {
  return std::visit(
      [&attempt](const auto& concrete) {
        if constexpr (requires { concrete.attempt; }) {
          return concrete.attempt == attempt;
        } else {
          return false;
        }
      },
      event);
}

}  // namespace

void KvNetwork::Join(EngineModel& model) {
  this->models.push_back(&model);
}

void KvNetwork::Leave(EngineModel& model) {
  std::erase(this->models, &model);
}

EngineModel* KvNetwork::Find(const std::string& engine_id) const {
  for (EngineModel* model : this->models) {
    if (model->engine_id() == engine_id) {
      return model;
    }
  }
  return nullptr;
}

ModelledEngine::ModelledEngine(Options engine_options,
                               RandomSource& random,
                               KvNetwork& kv_network)
    : options(std::move(engine_options)),
      network(kv_network),
      model(this->options.engine, random) {
  this->network.Join(this->model);
}

ModelledEngine::~ModelledEngine() {
  this->network.Leave(this->model);
}

void ModelledEngine::Execute(const engine::EngineCommand& command) {
  if (this->model.stalled(this->options.now())) {
    this->held_commands.push_back(command);
    return;
  }
  std::visit([this](const auto& concrete) { this->Run(concrete); }, command);
}

void ModelledEngine::SetOnEvent(
    std::function<void(const engine::EngineEvent&)> event_hook) {
  this->on_event = std::move(event_hook);
}

Instant ModelledEngine::next_event() const {
  return this->events.empty() ? this->model.next_event() : this->options.now();
}

void ModelledEngine::Deliver() {
  this->model.Advance(this->options.now());
  if (!this->model.stalled(this->options.now())) {
    for (const auto& command : std::exchange(this->held_commands, {})) {
      this->Execute(command);
    }
  }
  for (auto outputs = this->model.TakeOutputs(); !outputs.empty();
       outputs = this->model.TakeOutputs()) {
    for (const EngineOutput& output : outputs) {
      std::visit([this](const auto& typed) { this->OnOutput(typed); }, output);
    }
  }
  // A hook may abort an attempt whose events are still queued here.
  while (!this->events.empty()) {
    const engine::EngineEvent event = std::move(this->events.front());
    this->events.pop_front();
    if (this->on_event) {
      this->on_event(event);
    }
  }
}

void ModelledEngine::Run(const engine::Prefill& command) {
  this->Submit(command.attempt, command.generation, nullptr);
}

void ModelledEngine::Run(const engine::Decode& command) {
  this->Submit(command.attempt, command.generation, &command.kv);
}

void ModelledEngine::Submit(const AttemptId& attempt,
                            const protocol::GenerationRequest& generation,
                            const protocol::KvHandle* kv) {
  Result<std::string> prompt = PromptText(generation.api, generation.body);
  if (!prompt) {
    this->Fail(attempt, prompt.error().result_code(), Outcome::kNotRun);
    return;
  }
  EngineWork work{.request_id = ToString(attempt),
                  .model = generation.model.text,
                  .priority = generation.priority,
                  .prompt = *prompt + generation.resumed_text,
                  .max_tokens = kv == nullptr ? 1 : generation.max_tokens,
                  .export_kv = kv == nullptr};
  if (kv != nullptr && !kv->transfer_params.empty()) {
    const nlohmann::json params = Parse(kv->transfer_params);
    work.import_kv = {.engine_id = TextOr(params, "remote_engine_id", ""),
                      .request_id = TextOr(params, "remote_request_id", "")};
  }
  this->model.Submit(std::move(work), this->options.now());
}

void ModelledEngine::Run(const engine::Abort& command) {
  this->model.Abort(ToString(command.attempt), this->options.now());
  std::erase_if(this->events, [&command](const engine::EngineEvent& event) {
    return Concerns(event, command.attempt);
  });
}

// The model's streams are read at once; flow control is left to the caller.
void ModelledEngine::Run(const engine::SetPaused&) {}

void ModelledEngine::Run(const engine::Call& command) {
  this->Fail(command.attempt, ResultCode::kWrongRole, Outcome::kNotRun);
}

void ModelledEngine::Run(const engine::ListHeld&) {
  this->model.Advance(this->options.now());
  engine::Held held;
  for (const HeldRequest& request : this->model.held()) {
    held.attempts.push_back(AttemptOf(request.request_id));
  }
  this->events.emplace_back(std::move(held));
}

void ModelledEngine::Run(const engine::Order& command) {
  const std::optional<EngineRole> role =
      ValueOf(kEngineRoleNames, command.role);
  engine::OrderDone done{.fencing_token = command.fencing_token};
  if (!role) {
    done.code = ResultCode::kOrderRefused;
  } else if (!this->model.ApplyOrder(
                 {.fencing_token = command.fencing_token.value,
                  .model = command.model.text,
                  .version = command.version,
                  .adapters = command.adapters,
                  .role = *role},
                 this->options.now())) {
    done.code = ResultCode::kOrderFenced;
  }
  this->events.emplace_back(done);
}

void ModelledEngine::Run(const engine::ReadState&) {
  const EngineState state = this->model.state(this->options.now());
  this->events.emplace_back(engine::EngineState{
      .fencing_token = LogOffset(state.order.fencing_token),
      .model = ModelName(state.order.model),
      .version = state.order.version,
      .adapters = state.order.adapters,
      .role = std::string(NameOf(kEngineRoleNames, state.order.role)),
      .loading = state.loading});
}

void ModelledEngine::OnOutput(const PrefillReady& ready) {
  const nlohmann::json params = {{"do_remote_prefill", true},
                                 {"remote_engine_id", this->model.engine_id()},
                                 {"remote_request_id", ready.request_id}};
  this->events.emplace_back(engine::PrefillDone{
      .attempt = AttemptOf(ready.request_id),
      .kv = {.transfer_params = Dump(params),
             .tokens = ready.prompt_tokens,
             .bytes = ready.prompt_tokens *
                      this->model.options().kv_bytes_per_token},
      .usage = {.prompt_tokens = ready.prompt_tokens,
                .cached_tokens = ready.cached_tokens,
                .output_tokens = 1}});
}

void ModelledEngine::OnOutput(const TokensMade& made) {
  this->events.emplace_back(engine::Text{.attempt = AttemptOf(made.request_id),
                                         .text = made.text,
                                         .tokens = made.tokens});
}

void ModelledEngine::OnOutput(const WorkDone& done) {
  this->events.emplace_back(
      engine::StreamDone{.attempt = AttemptOf(done.request_id),
                         .reason = done.reason,
                         .usage = done.usage});
}

void ModelledEngine::OnOutput(const WorkFailed& failed) {
  const ResultCode code = CodeOf(failed.error);
  this->Fail(
      AttemptOf(failed.request_id), code,
      code == ResultCode::kEngineFailed ? Outcome::kUnknown : Outcome::kNotRun);
}

void ModelledEngine::OnOutput(const PullKv& pull) {
  EngineModel* from = this->network.Find(pull.kv.engine_id);
  const Instant now = this->options.now();
  bool found = from != nullptr;
  if (found && pull.done) {
    found = from->EndPull(pull.kv.engine_id, pull.kv.request_id, now);
  } else if (found) {
    found =
        from->BeginPull(pull.kv.engine_id, pull.kv.request_id, now).has_value();
  }
  this->model.OnPullAnswered(pull.request_id, found, now);
}

void ModelledEngine::Fail(const AttemptId& attempt,
                          ResultCode code,
                          protocol::Outcome outcome) {
  this->events.emplace_back(engine::AttemptFailed{
      .attempt = attempt, .code = code, .outcome = outcome});
}

ModelledService::ModelledService(Options service_options, RandomSource& random)
    : options(std::move(service_options)),
      model(this->options.service, random) {}

void ModelledService::Execute(const engine::EngineCommand& command) {
  if (const auto* call = std::get_if<engine::Call>(&command)) {
    this->Start(*call);
  } else if (const auto* abort = std::get_if<engine::Abort>(&command)) {
    for (const auto& [id, running_call] : this->running) {
      if (running_call.attempt == abort->attempt) {
        this->model.Cancel(id, this->options.now());
        this->running.erase(id);
        return;
      }
    }
  }
}

void ModelledService::Start(const engine::Call& command) {
  std::vector<std::string> keys;
  for (const protocol::HeaderField& header : command.request.headers) {
    if (header.name == "Idempotency-Key") {
      keys.push_back(header.value);
    }
  }
  const std::string marker = TextOr(Parse(command.request.body), "marker", "");
  if (!marker.empty()) {
    keys.push_back(marker);
  }
  const CallId id = this->model.Submit(std::move(keys), this->options.now());
  this->running[id] = {.attempt = command.attempt,
                       .answer = ReferenceServiceAnswer(command.request.method,
                                                        command.request.target,
                                                        command.request.body)};
}

void ModelledService::SetOnEvent(
    std::function<void(const engine::EngineEvent&)> event_hook) {
  this->on_event = std::move(event_hook);
}

Instant ModelledService::next_event() const {
  return this->model.next_event();
}

void ModelledService::Deliver() {
  this->model.Advance(this->options.now());
  for (const CallOutput& output : this->model.TakeOutputs()) {
    auto ended = this->running.extract(output.call);
    if (!ended || !this->on_event) {
      continue;
    }
    const AttemptId attempt = ended.mapped().attempt;
    if (output.result == CallResult::kRefused) {
      this->on_event(engine::AttemptFailed{.attempt = attempt,
                                           .code = ResultCode::kOverloaded,
                                           .outcome = Outcome::kNotRun});
    } else if (output.result == CallResult::kLost) {
      this->on_event(engine::AttemptFailed{.attempt = attempt,
                                           .code = ResultCode::kEndpointLost});
    } else {
      const bool done = output.result == CallResult::kDone;
      this->on_event(engine::CallDone{
          .attempt = attempt,
          .answer = {.status = static_cast<std::uint16_t>(done ? 200 : 500),
                     .body = std::move(ended.mapped().answer)}});
    }
  }
}

}  // namespace acacialug::standin
