#include "engine/internal/plain_engine.h"

#include <memory>
#include <utility>
#include <variant>

namespace acacialug::engine {
namespace {

http::Headers ToHttp(const std::vector<protocol::HeaderField>& fields) {
  http::Headers headers;
  for (const protocol::HeaderField& field : fields) {
    headers.push_back({field.name, field.value});
  }
  return headers;
}

// Leaves out the headers that belong to one connection; the sender of the body
// sets its length again.
http::Headers PassedOn(const http::Headers& headers) {
  http::Headers passed;
  const http::HopByHopNames hop_by_hop(headers);
  for (const http::Header& header : headers) {
    if (!hop_by_hop.Contains(header.name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

std::vector<protocol::HeaderField> ToFields(const http::Headers& headers) {
  std::vector<protocol::HeaderField> fields;
  for (const http::Header& header : headers) {
    fields.push_back({header.name, header.value});
  }
  return fields;
}

}  // namespace

PlainEngine::PlainEngine(const EngineOptions& engine_options)
    : options(engine_options),
      client({.connect_timeout = engine_options.connect_timeout,
              .silence_timeout = engine_options.silence_timeout}) {}

void PlainEngine::SetOnEvent(std::function<void(const EngineEvent&)> on_event) {
  this->outlet.SetHook(std::move(on_event));
}

void PlainEngine::Execute(const EngineCommand& command) {
  std::visit([this](const auto& concrete) { this->Run(concrete); }, command);
}

void PlainEngine::Run(const Call& command) {
  const AttemptId attempt = command.attempt;
  http::Headers headers = PassedOn(ToHttp(command.request.headers));
  if (!http::FindHeader(headers, "X-Request-Id")) {
    headers.push_back({"X-Request-Id", ToString(attempt)});
  }
  auto answer = std::make_shared<protocol::ServiceAnswer>();
  this->calls[attempt] = this->client.Send(
      this->options.address,
      {.method = command.request.method,
       .target = command.request.target,
       .headers = std::move(headers),
       .body = command.request.body},
      {.on_head =
           [answer](int status, const http::Headers& answer_headers) {
             answer->status = static_cast<std::uint16_t>(status);
             answer->headers = ToFields(PassedOn(answer_headers));
           },
       .on_unframed = [answer] { answer->unframed = true; },
       .on_end =
           [this, attempt, answer](std::string body) {
             this->calls.erase(attempt);
             answer->body = std::move(body);
             this->outlet.Send(
                 CallDone{.attempt = attempt, .answer = std::move(*answer)});
           },
       .on_error = [this, attempt](
                       const Error&,
                       bool sent) { this->OnError(attempt, sent); }});
}

void PlainEngine::Run(const Abort& command) {
  const auto found = this->calls.find(command.attempt);
  if (found != this->calls.end()) {
    this->client.Cancel(found->second);
    this->calls.erase(found);
  }
}

void PlainEngine::Run(const SetPaused&) {
  // An answer is read whole before it is passed on, so there is nothing to
  // pause.
}

void PlainEngine::Run(const Prefill& command) {
  this->Refuse(command.attempt);
}

void PlainEngine::Run(const Decode& command) {
  this->Refuse(command.attempt);
}

void PlainEngine::Run(const ListHeld&) {
  this->outlet.Post(Held{});
}

void PlainEngine::Run(const Order& command) {
  this->outlet.Post(OrderDone{.fencing_token = command.fencing_token,
                              .code = ResultCode::kOrderRefused});
}

void PlainEngine::Run(const ReadState&) {
  this->outlet.Post(EngineState{.role = "plain"});
}

void PlainEngine::Refuse(const AttemptId& attempt) {
  this->outlet.Post(AttemptFailed{.attempt = attempt,
                                  .code = ResultCode::kWrongRole,
                                  .outcome = protocol::Outcome::kNotRun});
}

void PlainEngine::OnError(const AttemptId& attempt, bool sent) {
  this->calls.erase(attempt);
  this->outlet.Send(AttemptFailed{
      .attempt = attempt,
      .code = sent ? ResultCode::kEngineFailed : ResultCode::kEngineUnavailable,
      .outcome =
          sent ? protocol::Outcome::kUnknown : protocol::Outcome::kNotRun});
}

}  // namespace acacialug::engine
