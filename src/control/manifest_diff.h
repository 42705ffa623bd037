#ifndef CONTROL_MANIFEST_DIFF_H_
#define CONTROL_MANIFEST_DIFF_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "manifest/types/manifest.h"

namespace acacialug::control {

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };
inline constexpr EnumNames<ChangeKind, 3> kChangeKindNames = {{
    {ChangeKind::kAdded, "added"},
    {ChangeKind::kRemoved, "removed"},
    {ChangeKind::kChanged, "changed"},
}};

// One item in which two manifests differ.
struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  std::string section;  // "service", "endpoint", "caller", "domain"
  std::string name;

  friend bool operator==(const Change&, const Change&) = default;
};

// The items of `after` that differ from `before`, by section and name. Thread
// safe.
std::vector<Change> DiffManifests(const manifest::Manifest& before,
                                  const manifest::Manifest& after);

}  // namespace acacialug::control

#endif  // CONTROL_MANIFEST_DIFF_H_
