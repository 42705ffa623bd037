#ifndef AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
#define AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_

#include <functional>
#include <vector>

#include "agent/types/held_attempt.h"
#include "agent_process/types/agent_status.h"
#include "framework/http/http_types.h"
#include "framework/metrics/types/snapshot.h"
#include "operations/drain_request.h"

namespace acacialug::agent_process {

// Each hook is called only for the paths that need it.
struct OperationsHooks {
  std::function<AgentStatus()> status;
  std::function<metrics::Snapshot()> histograms;
  std::function<std::vector<agent::HeldAttempt>()> holdings;
  operations::DrainRules drain_rules;
  // Drains the process once the answer that confirms it has been sent.
  std::function<void()> drain;
};

// Answers a request on the operations port: /healthz, /readyz, /metrics
// (Prometheus text), /metrics.json, /status, /requests, /requests/ID and, by
// POST, /drain. Runs on the thread
// of the hooks.
http::Response AnswerOperations(const http::Request& request,
                                const OperationsHooks& hooks);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
