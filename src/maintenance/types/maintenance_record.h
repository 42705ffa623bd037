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

// One record of a pool's stream: an endpoint asks to be taken out of service,
// or serves again (or no longer asks).
struct MaintenanceRecord {
  MaintenanceRecordKind kind = MaintenanceRecordKind::kClaim;
  EndpointId endpoint;
  std::uint64_t id = 0;  // of the claim; random, never zero
  LogOffset manifest;    // in force at the writer, for people
  // Of a copy: where the claim's first record stands. Zero: this is the first.
  LogOffset since;

  friend bool operator==(const MaintenanceRecord&,
                         const MaintenanceRecord&) = default;
};

// Thread safe, both. Errors: kPlatformBadAnswer for any payload that is no
// such JSON object.
std::string EncodeMaintenanceRecord(const MaintenanceRecord& record);
Result<MaintenanceRecord> DecodeMaintenanceRecord(std::string_view payload);

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_TYPES_MAINTENANCE_RECORD_H_
