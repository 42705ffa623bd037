#ifndef OPERATIONS_TYPES_REQUESTS_PAGE_H_
#define OPERATIONS_TYPES_REQUESTS_PAGE_H_

#include <variant>
#include <vector>

#include "agent/types/held_attempt.h"
#include "framework/global/types/identifiers.h"
#include "trace/types/trace.h"

namespace acacialug::operations {

// An entry's page of requests: the last step of each request in progress, or
// the whole trace of one request.
struct EntryRequests {
  EntryId entry;
  trace::TraceCounts counts;  // over all requests that the entry knows
  std::vector<trace::Trace> requests;

  friend bool operator==(const EntryRequests&, const EntryRequests&) = default;
};

// An agent's page of requests: the attempts that hold resources there, of all
// requests or of a single request.
struct AgentRequests {
  EndpointId endpoint;
  std::vector<agent::HeldAttempt> attempts;

  friend bool operator==(const AgentRequests&, const AgentRequests&) = default;
};

using RequestsPage = std::variant<EntryRequests, AgentRequests>;

}  // namespace acacialug::operations

#endif  // OPERATIONS_TYPES_REQUESTS_PAGE_H_
