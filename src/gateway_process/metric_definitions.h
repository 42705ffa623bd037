#ifndef GATEWAY_PROCESS_METRIC_DEFINITIONS_H_
#define GATEWAY_PROCESS_METRIC_DEFINITIONS_H_

#include "framework/metrics/types/definition.h"

// The metrics of a gateway process.
namespace acacialug::gateway_process {

// Label `end`: served, failed, refused, unknown, broken or caller_gone.
inline constexpr metrics::CounterDefinition kGatewayRequestsTotal = {
    .name = "acacialug_gateway_requests_total",
    .help = "Requests that ended, by route kind and end",
    .labels = {"kind", "end"}};
// Labels: the result code's name; the customer, empty if it is not known, or
// "(others)" beyond the first 64.
inline constexpr metrics::CounterDefinition kGatewayRefusalsTotal = {
    .name = "acacialug_gateway_refusals_total",
    .help = "Requests refused before they were queued or placed",
    .labels = {"code", "customer"}};
inline constexpr metrics::CounterDefinition kGatewaySendsTotal = {
    .name = "acacialug_gateway_sends_total",
    .help = "Requests sent to endpoints, by step (work or prefill)",
    .labels = {"step"}};
inline constexpr metrics::CounterDefinition kGatewayUnusedPromptsTotal = {
    .name = "acacialug_gateway_unused_prompts_total",
    .help = "Prompts that were computed and that no endpoint decoded"};
inline constexpr metrics::CounterDefinition kGatewayLossesTotal = {
    .name = "acacialug_gateway_losses_total",
    .help = "Endpoints lost while they had a request, by its route's kind",
    .labels = {"kind"}};
// Label `budget`: covered, or missing for those that the budget doesn't cover.
inline constexpr metrics::CounterDefinition kGatewayRepeatsTotal = {
    .name = "acacialug_gateway_repeats_total",
    .help = "Arrivals at endpoints beyond the first of each request",
    .labels = {"kind", "budget"}};
inline constexpr metrics::CounterDefinition kGatewayUnframedAnswersTotal = {
    .name = "acacialug_gateway_unframed_answers_total",
    .help = "Answers of endpoints that had neither a length nor chunks",
    .labels = {"kind"}};
// Label `end`: as of the requests.
inline constexpr metrics::CounterDefinition kGatewayPartialEventsTotal = {
    .name = "acacialug_gateway_partial_events_total",
    .help = "Streams whose last answer ended inside an event",
    .labels = {"end"}};
// Label `end`: as of the requests.
inline constexpr metrics::CounterDefinition kGatewayResumedStreamsTotal = {
    .name = "acacialug_gateway_resumed_streams_total",
    .help = "Streams that their callers continue after they broke off",
    .labels = {"end"}};
inline constexpr metrics::CounterDefinition kGatewayMixedStreamsTotal = {
    .name = "acacialug_gateway_mixed_streams_total",
    .help = "Answers with events of endpoints of several software versions"};
inline constexpr metrics::HistogramDefinition kGatewayFirstByteSeconds = {
    .name = "acacialug_gateway_first_byte_seconds",
    .help = "From a request's arrival to its answer's first byte",
    .labels = {"kind"}};
inline constexpr metrics::HistogramDefinition kGatewayWaitSeconds = {
    .name = "acacialug_gateway_wait_seconds",
    .help = "From a generation's arrival to its place",
    .labels = {"kind"}};
inline constexpr metrics::HistogramDefinition kGatewayWholeSeconds = {
    .name = "acacialug_gateway_whole_seconds",
    .help = "From a request's arrival to its answer's end",
    .labels = {"kind"}};
inline constexpr metrics::GaugeDefinition kGatewayUnderWay = {
    .name = "acacialug_gateway_requests_under_way",
    .help = "Requests that have no final answer yet"};
inline constexpr metrics::GaugeDefinition kGatewayWaiting = {
    .name = "acacialug_gateway_requests_waiting",
    .help = "Generations that wait here for decode memory"};
inline constexpr metrics::GaugeDefinition kGatewayQuarantined = {
    .name = "acacialug_gateway_requests_quarantined",
    .help = "Requests that are refused since endpoints ended under them"};
inline constexpr metrics::GaugeDefinition kGatewayPartsQuarantined = {
    .name = "acacialug_gateway_parts_quarantined",
    .help =
        "Parts of prompts that are refused since endpoints ended under "
        "requests with them"};
inline constexpr metrics::GaugeDefinition kGatewayLimited = {
    .name = "acacialug_gateway_endpoints_limited",
    .help = "Endpoints that name a limit in their answers"};
inline constexpr metrics::GaugeDefinition kGatewayStreamOrigins = {
    .name = "acacialug_gateway_stream_origins",
    .help = "Streams whose software version is kept, own and peers'"};
inline constexpr metrics::GaugeDefinition kGatewayPeers = {
    .name = "acacialug_gateway_peers",
    .help = "Peers that were heard lately"};

inline constexpr metrics::HistogramDefinition kGatewayStallSeconds = {
    .name = "acacialug_gateway_standstill_seconds",
    .help = "Times for which this process stood still, as an upper bound"};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_METRIC_DEFINITIONS_H_
