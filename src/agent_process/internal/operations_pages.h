#ifndef AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
#define AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_

#include <functional>

#include "agent_process/types/agent_status.h"
#include "framework/http/http_types.h"

namespace acacialug::agent_process {

// Answers a request on the operations port: /healthz, /readyz, /metrics
// (Prometheus text), /metrics.json and /status. `status` is asked for only by
// the paths that need it. Thread: the agent's, for `status`.
http::Response AnswerOperations(const http::Request& request,
                                const std::function<AgentStatus()>& status);

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
