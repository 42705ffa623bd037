#ifndef GATEWAY_TYPES_RELAY_OUTCOME_H_
#define GATEWAY_TYPES_RELAY_OUTCOME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "gateway/types/configuration.h"

namespace acacialug::gateway {

// How a request ended, as its caller sees it.
enum class RelayEnd {
  kServed,      // an endpoint's complete success
  kFailed,      // an endpoint's own failure, forwarded
  kRefused,     // it did not run
  kUnknown,     // it may have run; its answer is lost
  kBroken,      // its stream was interrupted
  kCallerGone,  // the caller disconnected first
};
inline constexpr EnumNames<RelayEnd, 6> kRelayEndNames = {
    {{RelayEnd::kServed, "served"},
     {RelayEnd::kFailed, "failed"},
     {RelayEnd::kRefused, "refused"},
     {RelayEnd::kUnknown, "unknown"},
     {RelayEnd::kBroken, "broken"},
     {RelayEnd::kCallerGone, "caller_gone"}}};

struct RelayOutcome {
  RelayEnd end = RelayEnd::kServed;
  ResultCode code = ResultCode::kOk;
  int status = 0;            // that the caller received; 0: none
  Duration first_byte{};     // from arrival; zero: none was sent
  Duration whole{};          // from arrival to the end
  Duration waited{};         // for capacity
  Duration longest_pause{};  // between two events of a stream
  std::uint32_t sends = 0;   // to endpoints, without prefills
  std::uint32_t prefills = 0;
  std::uint32_t unused_prompts = 0;  // computed, and decoded by no endpoint
  std::uint32_t events = 0;
  std::uint32_t losses = 0;  // endpoints lost during its run
  // Arrivals at endpoints beyond the first, and those that the repeat budget
  // does not cover.
  std::uint32_t repeats = 0;
  std::uint32_t uncovered_repeats = 0;
  // Answers of endpoints that had neither a length nor chunks, and the bytes of
  // an event that was not complete when the last answer ended.
  std::uint32_t unframed_answers = 0;
  std::size_t partial_event_bytes = 0;
  // Software versions of the endpoints whose events were forwarded.
  std::vector<std::string> software_versions;
  bool resumes = false;  // the caller continues a stream that broke off
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_RELAY_OUTCOME_H_
