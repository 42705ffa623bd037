#ifndef ENTRY_PROCESS_METRIC_DEFINITIONS_H_
#define ENTRY_PROCESS_METRIC_DEFINITIONS_H_

#include "framework/metrics/types/definition.h"

// The metrics of an entry process, used by the process and by the readers of
// its metrics (reports, the bench).
namespace acacialug::entry_process {

// Label `outcome`: completed, not_run, unknown or caller_gone.
inline constexpr metrics::CounterDefinition kRequestsTotal = {
    .name = "acacialug_requests_total",
    .help = "Requests that ended, by outcome",
    .labels = {"service", "class", "outcome"},
    .max_series = 1024};
inline constexpr metrics::CounterDefinition kGoodputTotal = {
    .name = "acacialug_goodput_total",
    .help = "Requests completed within both latency targets of their class",
    .labels = {"service", "class"}};
// Label `target`: first_token or token_interval; a request may miss both.
inline constexpr metrics::CounterDefinition kTargetMissedTotal = {
    .name = "acacialug_target_missed_total",
    .help = "Requests completed outside a latency target, by target",
    .labels = {"service", "class", "target"}};
inline constexpr metrics::CounterDefinition kErrorsTotal = {
    .name = "acacialug_errors_total",
    .help = "Requests answered with an error, by code",
    .labels = {"service", "class", "code"},
    .max_series = 1024};
inline constexpr metrics::CounterDefinition kBadRequestsTotal = {
    .name = "acacialug_bad_requests_total",
    .help = "Requests refused before any decision on them, by code",
    .labels = {"code"}};
inline constexpr metrics::CounterDefinition kOutputTokensTotal = {
    .name = "acacialug_output_tokens_total",
    .help = "Tokens of answers that completed",
    .labels = {"service", "class"}};
inline constexpr metrics::CounterDefinition kPrefillTokensTotal = {
    .name = "acacialug_prefill_tokens_total",
    .help = "Prompt tokens computed by prefills, without those cached",
    .labels = {"service"}};
// Label `cause`: the code of the request's error, "caller_gone", "repeated"
// (an earlier prefill of a request that completed by a later one) or "late"
// (the result came after the request's end).
inline constexpr metrics::CounterDefinition kWastedPrefillTokensTotal = {
    .name = "acacialug_wasted_prefill_tokens_total",
    .help = "Prompt tokens computed by prefills and then discarded, by cause",
    .labels = {"service", "cause"}};
inline constexpr metrics::HistogramDefinition kFirstTokenSeconds = {
    .name = "acacialug_first_token_seconds",
    .help = "From a request's arrival to its first text",
    .labels = {"service", "class"}};
inline constexpr metrics::HistogramDefinition kTokenIntervalSeconds = {
    .name = "acacialug_token_interval_seconds",
    .help = "Between output tokens, the average of each answer",
    .labels = {"service", "class"}};
inline constexpr metrics::HistogramDefinition kCallSeconds = {
    .name = "acacialug_call_seconds",
    .help = "From a plain call's arrival to its answer",
    .labels = {"service", "class"}};
inline constexpr metrics::CounterDefinition kAgentConnectionsClosedTotal = {
    .name = "acacialug_agent_connections_closed_total",
    .help = "Connections to agents that were lost or closed for a fault",
    .labels = {"code"}};
// Includes 28 bytes of headers for each datagram. Label `direction`: sent or
// received.
inline constexpr metrics::CounterDefinition kHeartbeatBytesTotal = {
    .name = "acacialug_heartbeat_bytes_total",
    .help = "Bytes of heartbeats and answers, with headers of UDP and IP",
    .labels = {"direction"}};
// Label `event`: sent, answered or dropped (an answer that counts for none).
inline constexpr metrics::CounterDefinition kHeartbeatsTotal = {
    .name = "acacialug_heartbeats_total",
    .help = "Heartbeats sent to agents, and what came of them",
    .labels = {"event"}};
inline constexpr metrics::CounterDefinition kHeartbeatOverBudgetTotal = {
    .name = "acacialug_heartbeat_over_budget_total",
    .help = "Times that renewals began to cost more than their byte budget"};
inline constexpr metrics::GaugeDefinition kHeartbeatIntervalSeconds = {
    .name = "acacialug_heartbeat_interval_seconds",
    .help = "Between renewals of a session, by the byte budget"};
inline constexpr metrics::GaugeDefinition kAliveRequests = {
    .name = "acacialug_alive_requests",
    .help = "Requests under way"};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_METRIC_DEFINITIONS_H_
