#ifndef GATEWAY_CALL_PLACEMENT_H_
#define GATEWAY_CALL_PLACEMENT_H_

#include <vector>

#include "framework/global/random_source.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/load_table.h"

namespace acacialug::gateway {

// Chooses the endpoint of a plain request: one of the least busy that answer
// well, of those alike one nearby.
//
// Load pattern: short requests at a small share of the slots, with endpoints
// that die, fail a part of their requests, or lose answers. What costs callers
// most is a bad endpoint that is tried again and again, not a busy one.
class CallPlacement {
 public:
  // Requests at an endpoint beyond its slots, for each slot, at which a new
  // one is refused: it would wait as long again as it may last.
  static constexpr std::uint32_t kMaxWaitingPerSlot = 3;

  struct Need {
    FailureDomain domain;           // of this process
    std::vector<EndpointId> tried;  // only if there is no other
    Duration hold{};                // for how long a request is at an endpoint
    Instant now;
  };

  CallPlacement(const LoadTable& table, const EndpointHealth& health_seen)
      : load_table(table), health(health_seen) {}

  // Null: none is known, or all are too busy. With tried ones only, the best
  // of those.
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
