#ifndef RETRY_TYPES_CRASH_RECORD_H_
#define RETRY_TYPES_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/instant.h"
#include "retry/types/request_key.h"

namespace acacialug::retry {

// An endpoint that ended while a request was there.
struct CrashEnd {
  std::uint64_t endpoint = 0;  // hash that identifies one start of the endpoint
  std::uint32_t attempt = 0;   // hash of the request's attempt at the endpoint

  friend bool operator==(const CrashEnd&, const CrashEnd&) = default;
};

// The state of one request that processes report to each other: the endpoints
// that ended while the request was there.
struct CrashRecord {
  RequestKey request;
  // Empty: the request was answered, and earlier reports on the request don't
  // count.
  std::vector<CrashEnd> ends;
  Duration age{};  // since the last end, or since the answer
};

}  // namespace acacialug::retry

#endif  // RETRY_TYPES_CRASH_RECORD_H_
