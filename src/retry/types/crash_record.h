#ifndef RETRY_TYPES_CRASH_RECORD_H_
#define RETRY_TYPES_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/instant.h"
#include "retry/types/request_key.h"

namespace acacialug::retry {

// An endpoint that ended under a request.
struct CrashEnd {
  std::uint64_t endpoint = 0;  // a hash of its start
  std::uint32_t attempt = 0;   // of the request, that was there; a hash

  friend bool operator==(const CrashEnd&, const CrashEnd&) = default;
};

// What processes tell each other of a request under which endpoints ended.
struct CrashRecord {
  RequestKey request;
  // Empty: it was answered, and what was told of it before does not count.
  std::vector<CrashEnd> ends;
  Duration age{};  // since the last end, or since the answer
};

}  // namespace acacialug::retry

#endif  // RETRY_TYPES_CRASH_RECORD_H_
