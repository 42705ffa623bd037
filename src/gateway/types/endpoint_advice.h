#ifndef GATEWAY_TYPES_ENDPOINT_ADVICE_H_
#define GATEWAY_TYPES_ENDPOINT_ADVICE_H_

#include <optional>

namespace acacialug::gateway {

// What the head of an answer says about the work that its endpoint takes.
struct EndpointAdvice {
  // The requests per second that the endpoint takes from all processes
  // together; empty: it names no limit.
  std::optional<double> max_rate;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_ADVICE_H_
