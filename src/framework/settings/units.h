#ifndef FRAMEWORK_SETTINGS_UNITS_H_
#define FRAMEWORK_SETTINGS_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/instant.h"

namespace acacialug::settings {

// "250ms", "2s", "7.5min": a decimal number and us, ms, s, min or h, to the
// nearest microsecond. Empty for any other form, a negative number, and what a
// Duration cannot hold. Thread safe.
std::optional<Duration> ParseDuration(std::string_view text);

// The shortest text that ParseDuration reads as this duration. Precondition:
// not negative. Thread safe.
std::string ToString(Duration duration);

// "64MiB": a whole number and B, KiB, MiB or GiB. Empty for any other form
// and what 63 bits cannot hold. Thread safe.
std::optional<std::uint64_t> ParseBytes(std::string_view text);

}  // namespace acacialug::settings

#endif  // FRAMEWORK_SETTINGS_UNITS_H_
