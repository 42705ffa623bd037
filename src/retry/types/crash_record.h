#ifndef RETRY_TYPES_CRASH_RECORD_H_
#define RETRY_TYPES_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/instant.h"
#include "retry/types/request_key.h"

namespace acacialug::retry {

// What processes tell each other of a request under which endpoints ended.
struct CrashRecord {
  RequestKey request;
  // Hashes of the starts of endpoints that ended. Empty: the request was
  // answered, and what was told of it before does not count.
  std::vector<std::uint64_t> endpoints;
  Duration age{};  // since the last end, or since the answer
};

}  // namespace acacialug::retry

#endif  // RETRY_TYPES_CRASH_RECORD_H_
