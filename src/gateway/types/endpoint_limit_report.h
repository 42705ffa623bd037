#ifndef GATEWAY_TYPES_ENDPOINT_LIMIT_REPORT_H_
#define GATEWAY_TYPES_ENDPOINT_LIMIT_REPORT_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// What a process knows of an endpoint's limit, as reported to its peers.
struct EndpointLimitReport {
  std::uint64_t endpoint_key = 0;  // hash of the endpoint's id
  // Requests per second, from all processes together; empty: no limit.
  std::optional<double> max_rate;
  Duration age{};  // of the answer that showed it
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_LIMIT_REPORT_H_
