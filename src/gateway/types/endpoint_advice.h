#ifndef GATEWAY_TYPES_ENDPOINT_ADVICE_H_
#define GATEWAY_TYPES_ENDPOINT_ADVICE_H_

#include <optional>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// What the head of an answer says about the work that its endpoint takes.
struct EndpointAdvice {
  // The requests per second that the endpoint takes from all processes
  // together; empty: it names no limit.
  std::optional<double> max_rate;
  // The endpoint takes no new work, and ends soon.
  bool leaving = false;
  // The endpoint takes nothing from this process for this long; zero: it asks
  // for no rest.
  Duration rest{};
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_ADVICE_H_
