#ifndef MAINTENANCE_TYPES_MAINTENANCE_RECORD_H_
#define MAINTENANCE_TYPES_MAINTENANCE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"

namespace acacialug::maintenance {

enum class MaintenanceRecordKind : std::uint8_t { kClaim, kRelease };
inline constexpr EnumNames<MaintenanceRecordKind, 2>
    kMaintenanceRecordKindNames = {{
        {MaintenanceRecordKind::kClaim, "claim"},
        {MaintenanceRecordKind::kRelease, "release"},
    }};

// One record of a pool's log stream. A claim requests that the endpoint be
// taken out of service. A release states that the endpoint serves again or has
// withdrawn its request.
struct MaintenanceRecord {
  MaintenanceRecordKind kind = MaintenanceRecordKind::kClaim;
  EndpointId endpoint;
  std::uint64_t id = 0;  // of the claim; random, never zero
  LogOffset manifest;    // active at the writer; for people only
  // In a copy of a claim: the offset of the claim's first record. Zero: this
  // record is the first one.
  LogOffset since;

  friend bool operator==(const MaintenanceRecord&,
                         const MaintenanceRecord&) = default;
};

// Both functions are thread safe. Errors: kPlatformBadAnswer for any payload
// that is not such a JSON object.
std::string EncodeMaintenanceRecord(const MaintenanceRecord& record);
Result<MaintenanceRecord> DecodeMaintenanceRecord(std::string_view payload);

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_TYPES_MAINTENANCE_RECORD_H_
