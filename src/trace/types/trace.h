#ifndef TRACE_TYPES_TRACE_H_
#define TRACE_TYPES_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "protocol/types/messages.h"

namespace acacialug::trace {

// An event in a request's processing, as its entry recorded it.
enum class StepKind : std::uint8_t {
  kArrived,
  kQueued,
  kDispatched,
  kReserveSent,
  kReserved,
  kRefused,
  kPrefillStarted,
  kPrefilled,
  kDecodeStarted,
  kDecodeResumed,
  kFirstToken,
  kDecodeEnded,
  kCallStarted,
  kCallLookedUp,
  kCallAnswered,
  kFailed,
  kReleased,
  kEndpointLost,
};
inline constexpr EnumNames<StepKind, 18> kStepKindNames = {{
    {StepKind::kArrived, "arrived"},
    {StepKind::kQueued, "queued"},
    {StepKind::kDispatched, "dispatched"},
    {StepKind::kReserveSent, "reserve_sent"},
    {StepKind::kReserved, "reserved"},
    {StepKind::kRefused, "refused"},
    {StepKind::kPrefillStarted, "prefill_started"},
    {StepKind::kPrefilled, "prefilled"},
    {StepKind::kDecodeStarted, "decode_started"},
    {StepKind::kDecodeResumed, "decode_resumed"},
    {StepKind::kFirstToken, "first_token"},
    {StepKind::kDecodeEnded, "decode_ended"},
    {StepKind::kCallStarted, "call_started"},
    {StepKind::kCallLookedUp, "call_looked_up"},
    {StepKind::kCallAnswered, "call_answered"},
    {StepKind::kFailed, "failed"},
    {StepKind::kReleased, "released"},
    {StepKind::kEndpointLost, "endpoint_lost"},
}};

// The quantity in `Step::amount`; kinds that are not listed have none.
inline constexpr EnumNames<StepKind, 8> kAmountNames = {{
    {StepKind::kReserveSent, "kv_tokens"},
    {StepKind::kReserved, "available_in_us"},
    {StepKind::kRefused, "retry_after_us"},
    {StepKind::kPrefillStarted, "prompt_tokens"},
    {StepKind::kPrefilled, "computed_tokens"},
    {StepKind::kDecodeStarted, "kv_tokens"},
    {StepKind::kDecodeResumed, "kv_tokens"},
    {StepKind::kDecodeEnded, "output_tokens"},
}};

struct Step {
  StepKind kind = StepKind::kArrived;
  std::optional<protocol::Phase> phase;  // kRefused, kFailed
  ResultCode code = ResultCode::kOk;     // kRefused, kFailed
  AttemptNumber attempt;                 // 0: of no attempt
  Duration at{};                         // since the arrival
  std::uint64_t amount = 0;              // see kAmountNames
  EndpointId endpoint;                   // empty: of none

  friend bool operator==(const Step&, const Step&) = default;
};

// A step and the request that it belongs to.
struct RequestStep {
  RequestId request;
  Step step;
};

enum class RequestKind : std::uint8_t { kGeneration, kCall };
inline constexpr EnumNames<RequestKind, 2> kRequestKindNames = {{
    {RequestKind::kGeneration, "generation"},
    {RequestKind::kCall, "call"},
}};

enum class TraceOutcome : std::uint8_t {
  kAlive,
  kCompleted,
  kNotRun,
  kUnknown,
  kCallerGone,
};
inline constexpr EnumNames<TraceOutcome, 5> kTraceOutcomeNames = {{
    {TraceOutcome::kAlive, "alive"},
    {TraceOutcome::kCompleted, "completed"},
    {TraceOutcome::kNotRun, "not_run"},
    {TraceOutcome::kUnknown, "unknown"},
    {TraceOutcome::kCallerGone, "caller_gone"},
}};

// Identifies a request and its service. It holds neither the caller nor its
// data: any client that reaches the operations port can read traces.
struct TraceSubject {
  RequestId request;
  RequestKind kind = RequestKind::kGeneration;
  std::string service;
  std::string latency_class;

  friend bool operator==(const TraceSubject&, const TraceSubject&) = default;
};

// The recorded steps of one request in its entry.
struct Trace {
  TraceSubject subject;
  TraceOutcome outcome = TraceOutcome::kAlive;
  ResultCode code = ResultCode::kOk;  // of the answered error, if any
  Duration age{};                     // arrival until the trace was read
  Duration took{};                    // arrival to end; zero while alive
  std::uint32_t steps_left_out = 0;   // beyond a bound
  std::vector<Step> steps;

  friend bool operator==(const Trace&, const Trace&) = default;
};

// Counts of a RequestTraces since its start, and its current contents.
struct TraceCounts {
  std::size_t kept = 0;              // traces, of requests alive and ended
  std::size_t alive = 0;             // of these
  std::size_t bytes = 0;             // used by the kept traces
  std::uint64_t dropped = 0;         // ended traces, to free bytes
  std::uint64_t not_traced = 0;      // requests, for lack of capacity
  std::uint64_t steps_left_out = 0;  // steps, beyond a bound

  friend bool operator==(const TraceCounts&, const TraceCounts&) = default;
};

}  // namespace acacialug::trace

#endif  // TRACE_TYPES_TRACE_H_
