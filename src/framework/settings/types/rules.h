#ifndef FRAMEWORK_SETTINGS_TYPES_RULES_H_
#define FRAMEWORK_SETTINGS_TYPES_RULES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::settings {

// What each getter accepts. A key whose rule has no `fallback` is required.
// Ranges include both ends.

struct StringRule {
  std::optional<std::string> fallback;
  std::size_t minimum_bytes = 1;
  std::size_t maximum_bytes = 4096;
};

struct IntegerRule {
  std::optional<std::int64_t> fallback;
  std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

struct NumberRule {
  std::optional<double> fallback;
  double minimum = std::numeric_limits<double>::lowest();
  double maximum = std::numeric_limits<double>::max();
};

struct BoolRule {
  std::optional<bool> fallback;
};

// A duration is text: a whole number and us, ms, s, min or h ("250ms").
struct DurationRule {
  std::optional<Duration> fallback;
  Duration minimum = Duration::zero();
  Duration maximum = 24h * 366;
};

// A size is a whole number of bytes, or text with B, KiB, MiB or GiB
// ("64MiB").
struct BytesRule {
  std::optional<std::uint64_t> fallback;
  std::uint64_t minimum = 0;
  std::uint64_t maximum = std::numeric_limits<std::int64_t>::max();
};

struct StringListRule {
  std::optional<std::vector<std::string>> fallback;
  std::size_t minimum_count = 0;
  std::size_t maximum_count = 100'000;
};

struct TableRule {
  bool required = false;
};

struct TablesRule {
  std::size_t minimum_count = 0;
  std::size_t maximum_count = 100'000;
};

// Text read by a function of the caller's, for types that this module does
// not know, such as addresses:
//   table.Parsed<Address>("listen", {.parse = http::ParseAddress,
//                                    .expected = "IP:PORT"});
template <typename T>
struct ParsedRule {
  std::function<std::optional<T>(std::string_view)> parse;
  std::string expected;
  std::optional<T> fallback;
};

}  // namespace acacialug::settings

#endif  // FRAMEWORK_SETTINGS_TYPES_RULES_H_
