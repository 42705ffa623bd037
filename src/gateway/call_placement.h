#ifndef GATEWAY_CALL_PLACEMENT_H_
#define GATEWAY_CALL_PLACEMENT_H_

#include <vector>

#include "framework/global/random_source.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/load_table.h"

namespace acacialug::gateway {

// Chooses the endpoint of a plain request: one of the least busy endpoints that
// answer well, and among equal ones one in the same failure domain.
//
// Load pattern: short requests that use a small share of the slots, and
// endpoints that die, fail a part of their requests, or lose answers. A bad
// endpoint that is tried repeatedly costs callers more than a busy one.
class CallPlacement {
 public:
  // Number of requests for each slot, beyond those in the slots, at which an
  // endpoint gets no new request: it would wait as long again as it may last.
  static constexpr std::uint32_t kMaxWaitingPerSlot = 3;

  struct Need {
    FailureDomain domain;           // of this process
    std::vector<EndpointId> tried;  // used only if there is no other
    Duration hold{};                // expected time at an endpoint
    Instant now;
  };

  CallPlacement(const LoadTable& table, const EndpointHealth& health_seen)
      : load_table(table), health(health_seen) {}

  // Returns null if no endpoint is known or all are too busy. If all have been
  // tried, the result is the best of them.
  const EndpointRecord* Pick(
      const Need& need,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;

 private:
  const LoadTable& load_table;
  const EndpointHealth& health;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_CALL_PLACEMENT_H_
