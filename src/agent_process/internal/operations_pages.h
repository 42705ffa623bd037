#ifndef AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
#define AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_

#include <functional>

#include "agent_process/types/agent_status.h"
#include "framework/http/http_types.h"
#include "framework/metrics/types/snapshot.h"

namespace acacialug::agent_process {

// Asked for only by the paths that need them.
struct OperationsHooks {
  std::function<AgentStatus()> status;
  std::function<metrics::Snapshot()> histograms;
};

// Answers a request on the operations port: /healthz, /readyz, /metrics
// (Prometheus text), /metrics.json and /status. Thread: that of the hooks.
http::Response AnswerOperations(const http::Request& request,
                                const OperationsHooks& hooks);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
