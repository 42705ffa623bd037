#ifndef AGENT_PROCESS_METRIC_DEFINITIONS_H_
#define AGENT_PROCESS_METRIC_DEFINITIONS_H_

#include "framework/metrics/types/definition.h"

// The histograms of an agent process, shared with the programs that read them.
// Its counters and gauges are defined in internal/status_metrics.cc.
namespace acacialug::agent_process {

inline constexpr metrics::HistogramDefinition kEnginePrefillSeconds = {
    .name = "acacialug_agent_prefill_seconds",
    .help = "From a prefill's start in the engine to its export"};
inline constexpr metrics::HistogramDefinition kEngineFirstTextSeconds = {
    .name = "acacialug_agent_first_text_seconds",
    .help = "From a stream's start in the engine to its first text"};
inline constexpr metrics::HistogramDefinition kEngineTextIntervalSeconds = {
    .name = "acacialug_agent_text_interval_seconds",
    .help = "Between texts of one stream from the engine"};
inline constexpr metrics::HistogramDefinition kEngineCallSeconds = {
    .name = "acacialug_agent_call_seconds",
    .help = "From a call's start at the plain service to its answer"};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_METRIC_DEFINITIONS_H_
