#include "agent_process/internal/operations_pages.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acacialug::agent_process {
namespace {

using Json = nlohmann::ordered_json;

enum class MetricKind : std::uint8_t { kCounter, kGauge };
constexpr EnumNames<MetricKind, 2> kMetricKindNames = {{
    {MetricKind::kCounter, "counter"},
    {MetricKind::kGauge, "gauge"},
}};

struct Metric {
  std::string_view name;
  MetricKind kind;
  double value;
};

std::vector<Metric> CounterMetrics(const AgentStatus& status) {
  const ProcessCounters& counters = status.counters;
  const agent::AgentCounters& core = status.core_counters;
  const auto row = [](std::string_view name, std::uint64_t value) {
    return Metric{name, MetricKind::kCounter, static_cast<double>(value)};
  };
  return {row("sessions_opened_total", counters.sessions_opened),
          row("sessions_closed_total", counters.sessions_closed),
          row("frames_received_total", counters.frames_received),
          row("frames_sent_total", counters.frames_sent),
          row("frames_not_sent_total", counters.frames_not_sent),
          row("frames_too_large_total", counters.frames_too_large),
          row("bad_frames_total", counters.bad_frames),
          row("engine_events_total", counters.engine_events),
          row("engine_failures_total", counters.engine_failures),
          row("prefills_done_total", counters.prefills_done),
          row("streams_done_total", counters.streams_done),
          row("calls_done_total", counters.calls_done),
          row("output_tokens_total", counters.output_tokens),
          row("refused_total", core.refused),
          row("dropped_messages_total", core.dropped_messages),
          row("dropped_engine_events_total", core.dropped_events),
          row("sessions_lapsed_total", core.sessions_lapsed),
          row("reservations_lapsed_total", core.reservations_lapsed),
          row("exports_lapsed_total", core.exports_lapsed),
          row("streams_stalled_total", core.streams_stalled),
          row("orphans_aborted_total", core.orphans_aborted)};
}

std::vector<Metric> Metrics(const AgentStatus& status) {
  const auto gauge = [](std::string_view name, double value) {
    return Metric{name, MetricKind::kGauge, value};
  };
  const protocol::EndpointLoad& load = status.load;
  std::vector<Metric> metrics = CounterMetrics(status);
  metrics.insert(
      metrics.end(),
      {gauge("ready", status.ready() ? 1 : 0),
       gauge("draining", status.draining ? 1 : 0),
       gauge("sessions", static_cast<double>(status.sessions.size())),
       gauge("held_attempts", static_cast<double>(status.held_attempts.size())),
       gauge("manifest_offset",
             static_cast<double>(status.manifest_offset.value)),
       gauge("running", load.running), gauge("limit", load.limit),
       gauge("queued", load.queued),
       gauge("free_kv_tokens", static_cast<double>(load.free_kv_tokens)),
       gauge("total_kv_tokens", static_cast<double>(load.total_kv_tokens)),
       gauge("work_ahead_seconds", Seconds(load.work_ahead)),
       gauge("next_slot_in_seconds", Seconds(load.next_slot_in)),
       gauge("token_interval_seconds", Seconds(load.token_interval)),
       gauge("prefill_tokens_per_second", load.prefill_tokens_per_second)});
  return metrics;
}

std::string MetricsText(const AgentStatus& status) {
  std::string text;
  for (const Metric& metric : Metrics(status)) {
    const std::string name = "acacialug_agent_" + std::string(metric.name);
    text.append("# TYPE ").append(name).append(" ");
    text.append(NameOf(kMetricKindNames, metric.kind)).append("\n");
    text.append(name).append(" ").append(Json(metric.value).dump());
    text.append("\n");
  }
  return text;
}

Json MetricsJson(const AgentStatus& status) {
  Json page;
  for (const Metric& metric : Metrics(status)) {
    page["acacialug_agent_" + std::string(metric.name)] = metric.value;
  }
  return page;
}

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

http::Response Answer(int code, const char* content_type, std::string body) {
  return {.status = code,
          .headers = {{"Content-Type", content_type}},
          .body = std::move(body)};
}

http::Response JsonAnswer(const Json& page) {
  return Answer(
      200, "application/json",
      page.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

http::Response ErrorAnswer(int status, ResultCode code) {
  return Answer(status, "text/plain",
                std::to_string(static_cast<int>(code)) + " " +
                    std::string(ResultCodeName(code)) + "\n");
}

}  // namespace

http::Response AnswerOperations(const http::Request& request,
                                const std::function<AgentStatus()>& status) {
  if (request.method != "GET" && request.method != "HEAD") {
    return ErrorAnswer(405, ResultCode::kMethodNotAllowed);
  }
  const std::string_view path = request.Path();
  if (path == "/healthz") {
    return Answer(200, "text/plain", "ok\n");
  }
  if (path == "/readyz") {
    const AgentStatus now = status();
    if (now.ready()) {
      return Answer(200, "text/plain", "ready\n");
    }
    return ErrorAnswer(
        503, now.draining ? ResultCode::kDraining : ResultCode::kNotReady);
  }
  if (path == "/metrics") {
    return Answer(200, "text/plain; version=0.0.4", MetricsText(status()));
  }
  if (path == "/metrics.json") {
    return JsonAnswer(MetricsJson(status()));
  }
  if (path == "/status") {
    return JsonAnswer(StatusJson(status()));
  }
  return ErrorAnswer(404, ResultCode::kUnknownRoute);
}

}  // namespace acacialug::agent_process
