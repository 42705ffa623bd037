#include "agent_process/internal/status_metrics.h"

#include <array>
#include <string>

namespace acacialug::agent_process {
namespace {

using Counters = ProcessCounters;
using CoreCounters = agent::AgentCounters;

struct CounterRow {
  std::string_view name;
  std::string_view help;
  std::uint64_t (*value)(const AgentStatus& status);
};

template <std::uint64_t Counters::*kMember>
std::uint64_t Of(const AgentStatus& status) {
  return status.counters.*kMember;
}

template <std::uint64_t CoreCounters::*kMember>
std::uint64_t OfCore(const AgentStatus& status) {
  return status.core_counters.*kMember;
}

constexpr std::array<CounterRow, 28> kCounters = {{
    {"sessions_opened", "Connections taken from entries",
     Of<&Counters::sessions_opened>},
    {"sessions_closed", "Connections from entries that ended",
     Of<&Counters::sessions_closed>},
    {"frames_received", "Frames received from entries",
     Of<&Counters::frames_received>},
    {"frames_sent", "Frames sent to entries", Of<&Counters::frames_sent>},
    {"frames_not_sent", "Frames for sessions that were gone",
     Of<&Counters::frames_not_sent>},
    {"frames_too_large", "Answers that no frame could hold",
     Of<&Counters::frames_too_large>},
    {"bad_frames", "Connections ended for bytes that are no message",
     Of<&Counters::bad_frames>},
    {"bad_datagrams", "Datagrams that are no heartbeat",
     Of<&Counters::bad_datagrams>},
    {"heartbeats", "Datagrams that renewed sessions",
     OfCore<&CoreCounters::heartbeats>},
    {"heartbeats_dropped", "Heartbeats late, doubled or of no session",
     OfCore<&CoreCounters::heartbeats_dropped>},
    {"heartbeat_bytes_received",
     "Bytes of heartbeats, with headers of UDP and IP",
     Of<&Counters::heartbeat_bytes_received>},
    {"heartbeat_bytes_sent",
     "Bytes of heartbeats' answers, with headers of UDP and IP",
     Of<&Counters::heartbeat_bytes_sent>},
    {"heartbeat_over_budget",
     "Times that renewals began to cost more than their byte budget",
     Of<&Counters::heartbeat_over_budget>},
    {"engine_events", "Events told by the engine",
     Of<&Counters::engine_events>},
    {"engine_failures", "Attempts that failed in the engine",
     Of<&Counters::engine_failures>},
    {"prefills_done", "Prefills completed", Of<&Counters::prefills_done>},
    {"streams_done", "Streams completed", Of<&Counters::streams_done>},
    {"calls_done", "Calls answered by the plain service",
     Of<&Counters::calls_done>},
    {"output_tokens", "Tokens told by the engine",
     Of<&Counters::output_tokens>},
    {"refused", "Requests refused as not run", OfCore<&CoreCounters::refused>},
    {"dropped_messages", "Messages superseded, repeated or unknown",
     OfCore<&CoreCounters::dropped_messages>},
    {"dropped_engine_events", "Engine events of unknown attempts",
     OfCore<&CoreCounters::dropped_events>},
    {"sessions_lapsed", "Sessions not renewed within their lease",
     OfCore<&CoreCounters::sessions_lapsed>},
    {"reservations_lapsed", "Reservations never used",
     OfCore<&CoreCounters::reservations_lapsed>},
    {"exports_lapsed", "Exports neither fetched nor cancelled",
     OfCore<&CoreCounters::exports_lapsed>},
    {"streams_stalled", "Streams ended for want of progress",
     OfCore<&CoreCounters::streams_stalled>},
    {"refused_while_silent", "Refused while the engine stood still",
     OfCore<&CoreCounters::refused_while_stalled>},
    {"orphans_aborted", "Attempts found in the engine and not owned",
     OfCore<&CoreCounters::orphans_aborted>},
}};

struct GaugeRow {
  std::string_view name;
  std::string_view help;
  double (*value)(const AgentStatus& status);
  metrics::GaugeMerge merge = metrics::GaugeMerge::kSum;
};

constexpr std::array<GaugeRow, 18> kGauges = {{
    {"ready", "1 when it takes new work",
     [](const AgentStatus& status) { return status.ready() ? 1.0 : 0.0; }},
    {"draining", "1 when it is leaving",
     [](const AgentStatus& status) { return status.draining ? 1.0 : 0.0; }},
    {"sessions", "Open connections from entries",
     [](const AgentStatus& status) {
       return static_cast<double>(status.sessions.size());
     }},
    {"held_attempts", "Attempts that hold something here",
     [](const AgentStatus& status) {
       return static_cast<double>(status.held_attempts.size());
     }},
    {"manifest_offset", "Offset of the manifest in force",
     [](const AgentStatus& status) {
       return static_cast<double>(status.manifest_offset.value);
     },
     metrics::GaugeMerge::kMinimum},
    {"running", "Prefills, streams or calls in the engine",
     [](const AgentStatus& status) {
       return static_cast<double>(status.load.running);
     }},
    {"limit", "How many of them may run at once",
     [](const AgentStatus& status) {
       return static_cast<double>(status.load.limit);
     }},
    {"queued", "Admitted and not yet in the engine",
     [](const AgentStatus& status) {
       return static_cast<double>(status.load.queued);
     }},
    {"free_kv_tokens", "Decode memory not held",
     [](const AgentStatus& status) {
       return static_cast<double>(status.load.free_kv_tokens);
     }},
    {"total_kv_tokens", "Decode memory",
     [](const AgentStatus& status) {
       return static_cast<double>(status.load.total_kv_tokens);
     }},
    {"work_ahead_seconds", "Until all admitted work is done",
     [](const AgentStatus& status) { return Seconds(status.load.work_ahead); },
     metrics::GaugeMerge::kMaximum},
    {"next_slot_in_seconds", "Until the next slot is free",
     [](const AgentStatus& status) {
       return Seconds(status.load.next_slot_in);
     },
     metrics::GaugeMerge::kMaximum},
    {"token_interval_seconds", "Recent time between tokens of a stream",
     [](const AgentStatus& status) {
       return Seconds(status.load.token_interval);
     },
     metrics::GaugeMerge::kMaximum},
    {"prefill_tokens_per_second", "Recent rate of prefills",
     [](const AgentStatus& status) {
       return status.load.prefill_tokens_per_second;
     }},
    {"orders_confirmed", "1 when the engine is as the manifest says",
     [](const AgentStatus& status) {
       return status.orders.confirmed ? 1.0 : 0.0;
     }},
    {"order_out", "1 while an order keeps the endpoint out of service",
     [](const AgentStatus& status) { return status.orders.out ? 1.0 : 0.0; }},
    {"order_turn_rank",
     "Members of the pool that claimed a turn before; else -1",
     [](const AgentStatus& status) {
       return status.orders.members_ahead
                  ? static_cast<double>(*status.orders.members_ahead)
                  : -1.0;
     },
     metrics::GaugeMerge::kMaximum},
    {"order_appends", "Claims and releases of turns appended to the log",
     [](const AgentStatus& status) {
       return static_cast<double>(status.orders.appends);
     }},
}};

void Add(metrics::Snapshot& snapshot,
         metrics::Family family,
         metrics::SeriesValue value) {
  family.series[{}] = std::move(value);
  snapshot.families[family.name] = std::move(family);
}

}  // namespace

void AddStatusMetrics(const AgentStatus& status, metrics::Snapshot& snapshot) {
  for (const CounterRow& row : kCounters) {
    Add(snapshot,
        {.name = "acacialug_agent_" + std::string(row.name) + "_total",
         .help = std::string(row.help),
         .kind = metrics::Kind::kCounter},
        row.value(status));
  }
  for (const GaugeRow& row : kGauges) {
    Add(snapshot,
        {.name = "acacialug_agent_" + std::string(row.name),
         .help = std::string(row.help),
         .kind = metrics::Kind::kGauge,
         .merge = row.merge},
        row.value(status));
  }
}

}  // namespace acacialug::agent_process
