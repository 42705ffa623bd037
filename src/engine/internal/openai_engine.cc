#include "engine/internal/openai_engine.h"

#include <utility>
#include <variant>

namespace acacialug::engine {
namespace {

constexpr int kOkStatus = 200;
constexpr std::size_t kMaxErrorBytes = std::size_t{64} << 10;
constexpr std::string_view kStreamEnd = "[DONE]";

const http::Header kJsonContent{"Content-Type", "application/json"};

}  // namespace

OpenAiEngine::OpenAiEngine(const EngineOptions& engine_options)
    : options(engine_options),
      streams({.connect_timeout = engine_options.connect_timeout,
               .silence_timeout = Duration::zero()}),
      requests({.connect_timeout = engine_options.connect_timeout,
                .silence_timeout = engine_options.silence_timeout}),
      aborts(engine_options, this->requests) {}

void OpenAiEngine::SetOnEvent(
    std::function<void(const EngineEvent&)> on_event) {
  this->outlet.SetHook(std::move(on_event));
}

void OpenAiEngine::Execute(const EngineCommand& command) {
  std::visit([this](const auto& concrete) { this->Run(concrete); }, command);
}

void OpenAiEngine::Run(const Prefill& command) {
  Result<std::string> body = PrefillBody(command.generation);
  if (!body.ok()) {
    this->Refuse(command.attempt, body.error().result_code());
    return;
  }
  const WorkPtr work = this->AddWork(command.attempt, this->requests);
  work->exchange = this->requests.Send(
      this->options.address,
      this->GenerationRequest(command.generation, command.attempt,
                              std::move(body.value())),
      {.on_head = [work](int status,
                         const http::Headers&) { work->status = status; },
       .on_end =
           [this, work](const std::string& answer) {
             this->OnPrefillEnd(*work, answer);
           },
       .on_error = [this, work](
                       const Error&,
                       bool sent) { this->FailExchange(*work, sent); }});
}

void OpenAiEngine::Run(const Decode& command) {
  Result<std::string> body = DecodeBody(command.generation, command.kv);
  if (!body.ok()) {
    this->Refuse(command.attempt, body.error().result_code());
    return;
  }
  const WorkPtr work = this->AddWork(command.attempt, this->streams);
  work->exchange = this->streams.Send(
      this->options.address,
      this->GenerationRequest(command.generation, command.attempt,
                              std::move(body.value())),
      {.on_head = [work](int status,
                         const http::Headers&) { work->status = status; },
       .on_data =
           [this, work](std::string_view data) {
             this->OnStreamData(work, data);
           },
       .on_end = [this, work](const std::string&) { this->OnStreamEnd(*work); },
       .on_error = [this, work](
                       const Error&,
                       bool sent) { this->FailExchange(*work, sent); }});
}

void OpenAiEngine::Run(const Abort& command) {
  const auto found = this->works.find(command.attempt);
  if (found != this->works.end()) {
    const WorkPtr work = found->second;
    this->Finish(*work);
    work->client->Cancel(work->exchange);
  }
  this->aborts.Add(command.attempt);
}

void OpenAiEngine::Run(const SetPaused& command) {
  const auto found = this->works.find(command.attempt);
  if (found != this->works.end()) {
    found->second->client->SetPaused(found->second->exchange, command.paused);
  }
}

void OpenAiEngine::Run(const Call& command) {
  this->Refuse(command.attempt, ResultCode::kWrongRole);
}

void OpenAiEngine::Run(const ListHeld&) {
  this->requests.Send(
      this->options.address, {.method = "GET", .target = "/requests"},
      {.on_end =
           [this](const std::string& body) {
             Result<std::vector<AttemptId>> held = ParseHeld(body);
             held.ok()
                 ? this->outlet.Send(Held{.attempts = std::move(held.value())})
                 : this->outlet.Send(ListFailed{});
           },
       .on_error = [this](const Error&,
                          bool) { this->outlet.Send(ListFailed{}); }});
}

void OpenAiEngine::Run(const Order& command) {
  const LogOffset fencing_token = command.fencing_token;
  auto status = std::make_shared<int>(0);
  this->requests.Send(
      this->options.address,
      {.method = "POST",
       .target = "/orders",
       .headers = {kJsonContent},
       .body = OrderBody(command)},
      {.on_head = [status](int head_status,
                           const http::Headers&) { *status = head_status; },
       .on_end =
           [this, fencing_token, status](const std::string& body) {
             this->outlet.Send(
                 OrderDone{.fencing_token = fencing_token,
                           .code = ParseOrderAnswer(*status, body)});
           },
       .on_error =
           [this, fencing_token](const Error&, bool) {
             this->outlet.Send(
                 OrderDone{.fencing_token = fencing_token,
                           .code = ResultCode::kEngineUnavailable});
           }});
}

void OpenAiEngine::Run(const ReadState&) {
  this->requests.Send(
      this->options.address, {.method = "GET", .target = "/state"},
      {.on_end =
           [this](const std::string& body) {
             const Result<EngineState> state = ParseState(body);
             this->outlet.Send(
                 state.ok()
                     ? *state
                     : EngineState{.code = ResultCode::kEngineUnavailable});
           },
       .on_error =
           [this](const Error&, bool) {
             this->outlet.Send(
                 EngineState{.code = ResultCode::kEngineUnavailable});
           }});
}

OpenAiEngine::WorkPtr OpenAiEngine::AddWork(const AttemptId& attempt,
                                            http::Client& client) {
  auto work = std::make_shared<Work>(
      Work{.attempt = attempt,
           .client = &client,
           .reader = EventStreamReader(this->options.max_event_bytes)});
  this->works[attempt] = work;
  return work;
}

http::Request OpenAiEngine::GenerationRequest(
    const protocol::GenerationRequest& request,
    const AttemptId& attempt,
    std::string body) const {
  return {.method = "POST",
          .target = std::string(GenerationPath(request.api)),
          .headers = {kJsonContent, {"X-Request-Id", ToString(attempt)}},
          .body = std::move(body)};
}

void OpenAiEngine::OnPrefillEnd(Work& work, const std::string& body) {
  if (work.finished) {
    return;
  }
  if (work.status != kOkStatus) {
    this->Fail(work, FailureOf(work.status, body));
    return;
  }
  Result<PrefillAnswer> answer = ParsePrefillAnswer(body);
  if (!answer.ok()) {
    this->Fail(work, {.code = answer.error().result_code()});
    return;
  }
  this->Finish(work);
  const std::uint64_t tokens = answer->usage.prompt_tokens;
  this->outlet.Send(PrefillDone{
      .attempt = work.attempt,
      .kv = {.prefill_endpoint = this->options.endpoint,
             .transfer_params = std::move(answer.value().transfer_params),
             .tokens = tokens,
             .bytes = tokens * this->options.kv_bytes_per_token},
      .usage = answer->usage});
}

void OpenAiEngine::OnStreamData(const WorkPtr& work, std::string_view data) {
  if (work->finished) {
    return;
  }
  if (work->status != kOkStatus) {
    const std::size_t free_bytes = kMaxErrorBytes - work->error_body.size();
    work->error_body.append(data.substr(0, free_bytes));
    return;
  }
  work->reader.Feed(data);
  while (!work->finished) {
    const auto event = work->reader.Next();
    if (!event) {
      break;
    }
    this->OnStreamEvent(*work, *event);
  }
  if (!work->finished && work->reader.broken()) {
    work->client->Cancel(work->exchange);
    this->Fail(*work, {.code = ResultCode::kEngineBadAnswer});
  }
}

void OpenAiEngine::OnStreamEvent(Work& work, const std::string& data) {
  if (data == kStreamEnd) {
    if (!work.reason) {
      this->Fail(work, {.code = ResultCode::kEngineBadAnswer});
      return;
    }
    this->Finish(work);
    this->outlet.Send(StreamDone{
        .attempt = work.attempt, .reason = *work.reason, .usage = work.usage});
    return;
  }
  Result<StreamPart> part = ParseStreamPart(data);
  if (!part.ok()) {
    work.client->Cancel(work.exchange);
    this->Fail(work, {.code = part.error().result_code()});
    return;
  }
  this->OnStreamPart(work, std::move(part.value()));
}

void OpenAiEngine::OnStreamPart(Work& work, StreamPart part) {
  if (part.failure) {
    this->Fail(work, *part.failure);
    return;
  }
  if (part.reason) {
    work.reason = part.reason;
  }
  std::uint32_t tokens = part.text.empty() ? 0 : 1;
  if (part.usage) {
    if (part.usage->output_tokens > work.usage.output_tokens) {
      tokens = part.usage->output_tokens - work.usage.output_tokens;
    }
    work.usage = *part.usage;
  }
  if (!part.text.empty()) {
    this->outlet.Send(Text{.attempt = work.attempt,
                           .text = std::move(part.text),
                           .tokens = tokens});
  }
}

void OpenAiEngine::OnStreamEnd(Work& work) {
  if (work.finished) {
    return;
  }
  if (work.status != kOkStatus) {
    this->Fail(work, FailureOf(work.status, work.error_body));
    return;
  }
  // The HTTP exchange ended correctly, but before [DONE]: a partial answer must
  // not count as a complete one.
  this->Fail(work, {.code = ResultCode::kEngineFailed});
}

void OpenAiEngine::Fail(Work& work, const Failure& failure) {
  this->Finish(work);
  if (failure.outcome != protocol::Outcome::kNotRun) {
    // The engine may still run the attempt or hold its export, while the agent
    // counts the memory as free from here on.
    this->aborts.Add(work.attempt);
  }
  this->outlet.Send(AttemptFailed{.attempt = work.attempt,
                                  .code = failure.code,
                                  .outcome = failure.outcome});
}

void OpenAiEngine::FailExchange(Work& work, bool sent) {
  if (work.finished) {
    return;
  }
  this->Fail(work, sent ? Failure{.code = ResultCode::kEngineFailed}
                        : Failure{.code = ResultCode::kEngineUnavailable,
                                  .outcome = protocol::Outcome::kNotRun});
}

void OpenAiEngine::Finish(Work& work) {
  work.finished = true;
  this->works.erase(work.attempt);
}

void OpenAiEngine::Refuse(const AttemptId& attempt, ResultCode code) {
  this->outlet.Post(AttemptFailed{
      .attempt = attempt, .code = code, .outcome = protocol::Outcome::kNotRun});
}

}  // namespace acacialug::engine
