#ifndef AGENT_TYPES_ORDER_STATUS_H_
#define AGENT_TYPES_ORDER_STATUS_H_

#include <cstdint>
#include <optional>

#include "maintenance/maintenance_queue_client.h"

namespace acacialug::agent {

// The progress of bringing the endpoint to the state in the manifest.
struct OrderStatus {
  bool confirmed = false;  // the engine has reported the wanted state
  bool out = false;        // taken out of service by an order
  maintenance::MaintenanceIntent intent = maintenance::MaintenanceIntent::kKeep;
  // Members of the pool that are ahead in the queue; empty without an open
  // claim.
  std::optional<std::uint64_t> members_ahead;
  std::uint64_t appends = 0;  // to the pool's stream
};

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_ORDER_STATUS_H_
