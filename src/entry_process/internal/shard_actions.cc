// The part of a shard that carries out the actions of its core and receives the
// agents' messages.
#include <algorithm>
#include <utility>
#include <variant>

#include "entry_process/internal/error_answer.h"
#include "entry_process/internal/service_call.h"
#include "entry_process/internal/shard.h"
#include "framework/log/log.h"
#include "trace/message_steps.h"

namespace acacialug::entry_process {
namespace {

trace::TraceOutcome TraceOutcomeOf(protocol::Outcome outcome) {
  switch (outcome) {
    case protocol::Outcome::kNotRun:
      return trace::TraceOutcome::kNotRun;
    case protocol::Outcome::kCompleted:
      return trace::TraceOutcome::kCompleted;
    case protocol::Outcome::kUnknown:
      break;
  }
  return trace::TraceOutcome::kUnknown;
}

}  // namespace

template <typename Message>
void Shard::NoteStep(const EndpointId& endpoint, const Message& message) {
  if (const std::optional<trace::RequestStep> noted =
          trace::StepOf(endpoint, message)) {
    this->board.traces().Add(noted->request, noted->step, MonotonicNow());
  }
}

void Shard::Do(const entry::SendToAgent& action) {
  this->NoteStep(action.endpoint, action.message);
  this->links.Send(action.endpoint, action.message);
}

void Shard::Do(const entry::ConnectEndpoint& action) {
  const manifest::Endpoint* record =
      this->manifest == nullptr ? nullptr
                                : this->manifest->FindEndpoint(action.endpoint);
  if (record != nullptr) {
    this->links.Connect(action.endpoint, record->agent);
    return;
  }
  // Reported later, since the core is still producing its actions.
  QMetaObject::invokeMethod(
      &this->context,
      [this, endpoint = action.endpoint] {
        this->OnAgentClosed(endpoint, Error(ResultCode::kConnectionLost,
                                            "not in the manifest"));
      },
      Qt::QueuedConnection);
}

void Shard::Do(const entry::DropEndpoint& action) {
  this->links.Drop(action.endpoint);
  this->board.Remove(action.endpoint);
  this->options.on_session_closed(action.endpoint);
}

void Shard::Do(const entry::AnswerText& action) {
  const auto found = this->live_requests.find(action.request);
  if (found == this->live_requests.end()) {
    return;
  }
  LiveRequest& live = found->second;
  const Instant now = MonotonicNow();
  if (!live.trace.first_text) {
    this->board.traces().Add(action.request,
                             {.kind = trace::StepKind::kFirstToken}, now);
  }
  live.trace.OnText(now);
  if (live.generation->AddText(action.index, action.text)) {
    this->MarkDirty(action.request, live);
    return;
  }
  const entry::AnswerError too_long{.request = action.request,
                                    .code = ResultCode::kOutOfBounds,
                                    .outcome = protocol::Outcome::kUnknown};
  this->Do(too_long);
  this->core.OnCallerGone(action.request, MonotonicNow());
}

void Shard::Do(const entry::AnswerEnd& action) {
  const auto found = this->live_requests.find(action.request);
  if (found == this->live_requests.end()) {
    return;
  }
  const Instant now = MonotonicNow();
  this->options.measures.OnGenerationCompleted(found->second.trace,
                                               action.usage.output_tokens, now);
  this->board.traces().End(action.request, trace::TraceOutcome::kCompleted,
                           ResultCode::kOk, now);
  found->second.generation->End(action.reason, action.usage);
  this->live_requests.erase(found);
}

void Shard::Do(entry::AnswerCall& action) {
  const auto found = this->live_requests.find(action.request);
  if (found == this->live_requests.end()) {
    return;
  }
  LiveRequest& live = found->second;
  const Instant now = MonotonicNow();
  this->options.measures.OnCallCompleted(live.trace, now);
  this->board.traces().End(action.request, trace::TraceOutcome::kCompleted,
                           ResultCode::kOk, now);
  http::Response response =
      MakeServiceResponse(std::move(action.answer), action.replayed);
  response.headers.insert(response.headers.end(), live.identity.begin(),
                          live.identity.end());
  live.responder->SendWhole(response);
  this->live_requests.erase(found);
}

void Shard::Do(const entry::AnswerError& action) {
  const auto found = this->live_requests.find(action.request);
  if (found == this->live_requests.end()) {
    return;
  }
  LiveRequest& live = found->second;
  this->options.measures.OnError(live.trace, action.code, action.outcome);
  this->board.traces().End(action.request, TraceOutcomeOf(action.outcome),
                           action.code, MonotonicNow());
  log::WriteLimited(
      this->options.log_limiter, MonotonicNow(), log::Level::kWarning,
      "request_failed",
      {.request = action.request,
       .code = action.code,
       .fields = {{"outcome", NameOf(protocol::kOutcomeNames, action.outcome)},
                  {"service", live.trace.service}}});
  const ErrorAnswer error{.code = action.code,
                          .outcome = action.outcome,
                          .retry_after = action.retry_after};
  if (live.generation != nullptr) {
    live.generation->Fail(error);
  } else {
    http::Response response = RenderError(error);
    response.headers.insert(response.headers.end(), live.identity.begin(),
                            live.identity.end());
    live.responder->SendWhole(response);
  }
  this->live_requests.erase(found);
}

void Shard::Do(const entry::AppendClaims& action) {
  this->claims.Append(action);
}

void Shard::Do(const entry::ReadClaims& action) {
  this->claims.Read(action);
}

void Shard::OnAgentConnected(const EndpointId& endpoint) {
  this->Feed(
      [&](Instant now) { this->core.OnEndpointConnected(endpoint, now); });
}

void Shard::OnAgentClosed(const EndpointId& endpoint, const Error& error) {
  this->board.SetClosed(endpoint);
  this->options.on_session_closed(endpoint);
  this->options.measures.OnAgentClosed(error.result_code());
  log::WriteLimited(
      this->options.log_limiter, MonotonicNow(), log::Level::kWarning,
      "agent_connection_closed",
      {.endpoint = endpoint,
       .code = error.result_code(),
       .fields = {{"detail", error.detail}, {"shard", this->options.index}}});
  this->Feed([&](Instant now) { this->core.OnEndpointClosed(endpoint, now); });
}

void Shard::OnAgentMessage(const EndpointId& endpoint,
                           const protocol::AgentToEntry& message) {
  this->NoteStep(endpoint, message);
  this->NoteMessage(endpoint, message);
  this->Feed(
      [&](Instant now) { this->core.OnMessage(endpoint, message, now); });
}

void Shard::NoteMessage(const EndpointId& endpoint,
                        const protocol::AgentToEntry& message) {
  std::visit(
      [&](const auto& kind) {
        if constexpr (requires { kind.load; }) {
          this->board.SetLoad(endpoint, kind.load);
        }
        if constexpr (requires { kind.manifest; }) {
          if (this->options.state.NoteManifestOffset(kind.manifest)) {
            this->options.on_manifest_reported(kind.manifest);
          }
        }
      },
      message);
  if (const auto* welcome = std::get_if<protocol::Welcome>(&message)) {
    this->board.SetWelcomed(endpoint, welcome->incarnation);
    this->options.on_session_opened(
        {.shard = this->options.index,
         .endpoint = endpoint,
         .name = {.agent = welcome->incarnation, .number = welcome->session},
         .lease = welcome->lease},
        welcome->heartbeat_port);
  } else if (const auto* done = std::get_if<protocol::Prefilled>(&message)) {
    this->NotePrefilled(endpoint, *done);
  }
}

void Shard::NotePrefilled(const EndpointId& endpoint,
                          const protocol::Prefilled& prefilled) {
  const std::uint64_t tokens =
      prefilled.usage.prompt_tokens -
      std::min(prefilled.usage.prompt_tokens, prefilled.usage.cached_tokens);
  const auto found = this->live_requests.find(prefilled.attempt.request);
  if (found != this->live_requests.end()) {
    found->second.trace.OnPrefilled(tokens);
    return;
  }
  const manifest::Endpoint* record =
      this->manifest == nullptr ? nullptr
                                : this->manifest->FindEndpoint(endpoint);
  this->options.measures.OnLatePrefill(
      record == nullptr ? std::string() : record->service.text, tokens);
}

}  // namespace acacialug::entry_process
