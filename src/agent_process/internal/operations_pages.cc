#include "agent_process/internal/operations_pages.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "agent_process/internal/status_metrics.h"
#include "framework/metrics/exposition.h"
#include "operations/requests_page.h"

namespace acacialug::agent_process {
namespace {

using Json = nlohmann::ordered_json;

Json LoadJson(const protocol::EndpointLoad& load) {
  return {{"running", load.running},
          {"limit", load.limit},
          {"queued", load.queued},
          {"free_kv_tokens", load.free_kv_tokens},
          {"total_kv_tokens", load.total_kv_tokens},
          {"work_ahead_seconds", Seconds(load.work_ahead)},
          {"next_slot_in_seconds", Seconds(load.next_slot_in)},
          {"token_interval_seconds", Seconds(load.token_interval)},
          {"prefill_tokens_per_second", load.prefill_tokens_per_second},
          {"leaving", load.leaving}};
}

Json StatusJson(const AgentStatus& status) {
  Json sessions = Json::array();
  for (const SessionStatus& session : status.sessions) {
    sessions.push_back({{"session", session.session.value},
                        {"entry", session.entry.text},
                        {"bytes_sent", session.bytes_sent},
                        {"bytes_received", session.bytes_received},
                        {"unsent_bytes", session.unsent_bytes}});
  }
  Json attempts = Json::array();
  for (const AttemptId& attempt : status.held_attempts) {
    attempts.push_back(ToString(attempt));
  }
  return {{"endpoint", status.endpoint.text},
          {"role", NameOf(protocol::kEndpointRoleNames, status.role)},
          {"program_version", ACACIALUG_VERSION},
          // As text: JSON readers lose digits of a 64-bit number.
          {"incarnation", std::to_string(status.incarnation.value)},
          {"manifest",
           {{"offset", status.manifest_offset.value},
            {"version", status.manifest_version}}},
          {"ready", status.ready()},
          {"draining", status.draining},
          {"load", LoadJson(status.load)},
          {"sessions", std::move(sessions)},
          {"held_attempts", std::move(attempts)}};
}

metrics::Snapshot AllMetrics(const OperationsHooks& hooks) {
  metrics::Snapshot snapshot = hooks.histograms();
  AddStatusMetrics(hooks.status(), snapshot);
  return snapshot;
}

http::Response Answer(int code,
                      std::string_view content_type,
                      std::string body) {
  return {.status = code,
          .headers = {{"Content-Type", std::string(content_type)}},
          .body = std::move(body)};
}

http::Response JsonAnswer(const Json& page) {
  return Answer(
      200, "application/json",
      page.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

http::Response ErrorAnswer(int status, const Error& error) {
  const ResultCode code = error.result_code();
  std::string line = std::to_string(static_cast<int>(code)) + " " +
                     std::string(ResultCodeName(code));
  if (!error.detail.empty()) {
    line += ": " + error.detail;
  }
  return Answer(status, "text/plain", line + "\n");
}

// The HTTP status for the result codes that occur on these paths.
int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kNotAllowed:
      return 403;
    case ResultCode::kUnknownRequest:
      return 404;
    case ResultCode::kMethodNotAllowed:
      return 405;
    default:
      return 400;
  }
}

http::Response ErrorAnswer(const Error& error) {
  return ErrorAnswer(StatusOf(error.result_code()), error);
}

http::Response AnswerRequests(std::string_view path,
                              const OperationsHooks& hooks) {
  const Result<std::optional<RequestId>> requested =
      operations::RequestOfPath(path);
  if (!requested.ok()) {
    return ErrorAnswer(requested.error());
  }
  operations::AgentRequests page{.endpoint = hooks.status().endpoint,
                                 .attempts = hooks.holdings()};
  if (requested->has_value()) {
    std::erase_if(page.attempts, [&](const agent::HeldAttempt& held) {
      return held.attempt.request != **requested;
    });
    if (page.attempts.empty()) {
      return ErrorAnswer(
          Error(ResultCode::kUnknownRequest, ToString(**requested)));
    }
  }
  return Answer(200, "application/json", operations::RenderRequestsPage(page));
}

http::Response AnswerDrain(const http::Request& request,
                           const OperationsHooks& hooks) {
  const Status checked =
      operations::CheckDrainRequest(request, hooks.drain_rules);
  if (!checked.ok()) {
    return ErrorAnswer(checked.error());
  }
  hooks.drain();
  return Answer(202, "application/json",
                operations::RenderDrainAnswer(hooks.drain_rules.name));
}

}  // namespace

http::Response AnswerOperations(const http::Request& request,
                                const OperationsHooks& hooks) {
  const std::string_view path = request.Path();
  if (path == operations::kDrainPath) {
    return AnswerDrain(request, hooks);
  }
  if (request.method != "GET" && request.method != "HEAD") {
    return ErrorAnswer(Error(ResultCode::kMethodNotAllowed));
  }
  if (operations::IsRequestsPath(path)) {
    return AnswerRequests(path, hooks);
  }
  if (path == "/healthz") {
    return Answer(200, "text/plain", "ok\n");
  }
  if (path == "/readyz") {
    const AgentStatus status = hooks.status();
    if (status.ready()) {
      return Answer(200, "text/plain", "ready\n");
    }
    return ErrorAnswer(503, Error(status.draining ? ResultCode::kDraining
                                                  : ResultCode::kNotReady));
  }
  if (path == "/metrics") {
    return Answer(200, metrics::kPrometheusContentType,
                  metrics::PrometheusText(AllMetrics(hooks)));
  }
  if (path == "/metrics.json") {
    return Answer(200, "application/json", metrics::ToJson(AllMetrics(hooks)));
  }
  if (path == "/status") {
    return JsonAnswer(StatusJson(hooks.status()));
  }
  return ErrorAnswer(404, Error(ResultCode::kUnknownRoute));
}

}  // namespace acacialug::agent_process
