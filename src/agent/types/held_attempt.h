#ifndef AGENT_TYPES_HELD_ATTEMPT_H_
#define AGENT_TYPES_HELD_ATTEMPT_H_

#include <cstdint>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// The kind of resource that an attempt holds at an endpoint.
enum class HeldKind : std::uint8_t {
  kReservation,
  kStream,
  kQueuedPrefill,
  kPrefill,
  kExport,
  kQueuedCall,
  kCall,
};
inline constexpr EnumNames<HeldKind, 7> kHeldKindNames = {{
    {HeldKind::kReservation, "reservation"},
    {HeldKind::kStream, "stream"},
    {HeldKind::kQueuedPrefill, "queued_prefill"},
    {HeldKind::kPrefill, "prefill"},
    {HeldKind::kExport, "export"},
    {HeldKind::kQueuedCall, "queued_call"},
    {HeldKind::kCall, "call"},
}};

struct HeldAttempt {
  AttemptId attempt;
  HeldKind kind = HeldKind::kReservation;
  // The time since the attempt's first message here. Zero for a call that
  // continues although no caller waits for it any more.
  Duration age{};

  friend bool operator==(const HeldAttempt&, const HeldAttempt&) = default;
};

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_HELD_ATTEMPT_H_
