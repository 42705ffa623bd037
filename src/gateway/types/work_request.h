#ifndef GATEWAY_TYPES_WORK_REQUEST_H_
#define GATEWAY_TYPES_WORK_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

// One caller's request. The endpoint receives `message`, unchanged except for
// the headers that this system sets.
struct WorkRequest {
  std::string id;  // the caller's name for this attempt
  std::string host;
  http::Request message;  // without the headers of a single connection
  std::optional<Duration> deadline;  // from the request's arrival
  std::optional<GenerationSize> size;
  // Ids of the parts of its prompt that other requests may share, in the order
  // of the prompt; each once, in lower case.
  std::vector<std::string> prompt_parts;
  std::optional<std::uint64_t> resume_after;  // the last event received
  // The caller's name for the attempt that brought the first event of the
  // stream that this one continues; empty: none, or contradicting names.
  std::string resumed_attempt;
  std::optional<KeyDigest> key;  // the customer's, as presented
  CustomerName customer;         // that owns the key; may be empty
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_WORK_REQUEST_H_
