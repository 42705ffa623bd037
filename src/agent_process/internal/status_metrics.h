#ifndef AGENT_PROCESS_INTERNAL_STATUS_METRICS_H_
#define AGENT_PROCESS_INTERNAL_STATUS_METRICS_H_

#include "agent_process/types/agent_status.h"
#include "framework/metrics/types/snapshot.h"

namespace acacialug::agent_process {

// Adds the status's counters and gauges to a snapshot. Thread safe.
void AddStatusMetrics(const AgentStatus& status, metrics::Snapshot& snapshot);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_STATUS_METRICS_H_
