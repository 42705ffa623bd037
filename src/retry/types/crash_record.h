#ifndef RETRY_TYPES_CRASH_RECORD_H_
#define RETRY_TYPES_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "retry/types/request_key.h"

namespace acacialug::retry {

// What endpoints ended under.
enum class CrashSubject : std::uint8_t {
  kRequest,
  kPart,       // of prompts, which requests share
  kFirstPart,  // the same, at the beginning of each prompt that has it
};
inline constexpr EnumNames<CrashSubject, 3> kCrashSubjectNames = {
    {{CrashSubject::kRequest, "request"},
     {CrashSubject::kPart, "part"},
     {CrashSubject::kFirstPart, "first_part"}}};

// An endpoint that ended while a request was there.
struct CrashEnd {
  std::uint64_t endpoint = 0;  // hash that identifies one start of the endpoint
  std::uint32_t attempt = 0;   // hash of the request's attempt at the endpoint
  Duration age{};              // in a record; at least the record's

  // Whether both are the same end.
  friend bool operator==(const CrashEnd& left, const CrashEnd& right) {
    return left.endpoint == right.endpoint && left.attempt == right.attempt;
  }
};

// The state of one request, or of one part of prompts, that processes report to
// each other: the endpoints that ended while it was there.
struct CrashRecord {
  RequestKey request;  // of the request or the part
  // Empty: it was answered, and earlier reports on it don't count.
  std::vector<CrashEnd> ends;
  Duration age{};  // since the last end, or since the answer
  CrashSubject subject = CrashSubject::kRequest;
  // Answers to others have confirmed that it is the cause of the ends.
  bool confirmed = false;
};

}  // namespace acacialug::retry

#endif  // RETRY_TYPES_CRASH_RECORD_H_
