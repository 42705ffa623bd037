#ifndef GATEWAY_TYPES_WORK_REQUEST_H_
#define GATEWAY_TYPES_WORK_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "gateway/types/customer.h"

namespace acacialug::gateway {

struct GenerationSize {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::uint64_t expected_output_tokens = 0;  // the caller's estimate

  friend bool operator==(const GenerationSize&,
                         const GenerationSize&) = default;
};

// One caller's request. What the endpoint gets is `message`, unchanged but for
// the headers that are this system's to set.
struct WorkRequest {
  std::string id;  // the caller's name for this attempt
  std::string host;
  http::Request message;  // without headers that belong to one connection
  std::optional<Duration> deadline;  // from the request's arrival
  std::optional<GenerationSize> size;
  std::optional<std::uint64_t> resume_after;  // the last event that it has
  std::optional<KeyDigest> key;               // of the customer, as shown
  CustomerName customer;                      // that holds the key; may be none
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_WORK_REQUEST_H_
