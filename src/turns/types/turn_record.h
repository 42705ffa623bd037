#ifndef TURNS_TYPES_TURN_RECORD_H_
#define TURNS_TYPES_TURN_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"

namespace acacialug::turns {

enum class TurnRecordKind : std::uint8_t { kClaim, kRelease };
inline constexpr EnumNames<TurnRecordKind, 2> kTurnRecordKindNames = {{
    {TurnRecordKind::kClaim, "claim"},
    {TurnRecordKind::kRelease, "release"},
}};

// One record of a pool's stream: an endpoint asks to be taken out of service,
// or serves again (or no longer asks).
struct TurnRecord {
  TurnRecordKind kind = TurnRecordKind::kClaim;
  EndpointId endpoint;
  std::uint64_t id = 0;  // of the claim; random, never zero
  LogOffset manifest;    // in force at the writer, for people
  // Of a copy: where the claim's first record stands. Zero: this is the first.
  LogOffset since;

  friend bool operator==(const TurnRecord&, const TurnRecord&) = default;
};

// Thread safe, both. Errors: kPlatformBadAnswer for any payload that is no
// such JSON object.
std::string EncodeTurn(const TurnRecord& record);
Result<TurnRecord> DecodeTurn(std::string_view payload);

}  // namespace acacialug::turns

#endif  // TURNS_TYPES_TURN_RECORD_H_
