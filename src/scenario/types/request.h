#ifndef SCENARIO_TYPES_REQUEST_H_
#define SCENARIO_TYPES_REQUEST_H_

#include <cstdint>
#include <string>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"

namespace acacialug::scenario {

// The state of a request, as its caller sees it.
enum class RequestState : std::uint8_t {
  kOpen,
  kCompleted,
  kNotRun,     // refused as provably not run
  kFailed,     // any other error
  kCancelled,  // by the caller
  kLost,       // its entry ended, or did not run
};
inline constexpr EnumNames<RequestState, 6> kRequestStateNames = {{
    {RequestState::kOpen, "open"},
    {RequestState::kCompleted, "completed"},
    {RequestState::kNotRun, "not_run"},
    {RequestState::kFailed, "failed"},
    {RequestState::kCancelled, "cancelled"},
    {RequestState::kLost, "lost"},
}};

// A generation that a caller requests.
struct Generation {
  std::string entry;
  std::uint32_t prompt_tokens = 400;
  std::uint32_t answer_tokens = 20;
  Duration read{};  // time that the caller takes to read a chunk
  Duration deadline{};
};

// A call of the plain service.
struct Call {
  std::string entry;
  std::string method = "POST";
  std::string key;     // header Idempotency-Key
  std::string ticket;  // as an entry issued it
  Duration deadline{};
};

// One request, as its caller sees it.
struct Request {
  std::uint64_t number = 0;  // in the order of sending, from 1
  RequestId id;
  std::string entry;
  bool generation = false;
  bool repeatable = true;
  std::string marker;    // by which the service counts the executions
  std::string expected;  // the expected answer
  std::string text;      // received so far
  std::uint64_t pieces = 0;
  Duration read{};
  RequestState state = RequestState::kOpen;
  ResultCode code = ResultCode::kOk;
  bool replayed = false;
  Instant sent_at;
  Instant ended_at;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_TYPES_REQUEST_H_
