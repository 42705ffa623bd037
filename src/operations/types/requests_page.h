#ifndef OPERATIONS_TYPES_REQUESTS_PAGE_H_
#define OPERATIONS_TYPES_REQUESTS_PAGE_H_

#include <variant>
#include <vector>

#include "agent/types/held_attempt.h"
#include "framework/global/types/identifiers.h"
#include "trace/types/trace.h"

namespace acacialug::operations {

// What an entry tells of requests: of all alive ones their last step, or of
// one request its whole trace.
struct EntryRequests {
  EntryId entry;
  trace::TraceCounts counts;  // of all that the entry knows
  std::vector<trace::Trace> requests;

  friend bool operator==(const EntryRequests&, const EntryRequests&) = default;
};

// What an agent tells: the attempts that hold something there, of all
// requests or of one.
struct AgentRequests {
  EndpointId endpoint;
  std::vector<agent::HeldAttempt> attempts;

  friend bool operator==(const AgentRequests&, const AgentRequests&) = default;
};

using RequestsPage = std::variant<EntryRequests, AgentRequests>;

}  // namespace acacialug::operations

#endif  // OPERATIONS_TYPES_REQUESTS_PAGE_H_
