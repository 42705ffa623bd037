#include "framework/settings/units.h"

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace acacialug::settings {
namespace {

template <std::size_t kSize>
using Units = std::array<std::pair<std::string_view, std::int64_t>, kSize>;

// Longest first, so that ToString finds the shortest text.
constexpr Units<5> kDurationUnits = {{{"h", 3'600'000'000},
                                      {"min", 60'000'000},
                                      {"s", 1'000'000},
                                      {"ms", 1'000},
                                      {"us", 1}}};

constexpr Units<4> kByteUnits = {
    {{"GiB", 1LL << 30}, {"MiB", 1LL << 20}, {"KiB", 1LL << 10}, {"B", 1}}};

template <std::size_t kSize>
std::optional<std::int64_t> ParseQuantity(std::string_view text,
                                          const Units<kSize>& units) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + digits, number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  for (const auto& [name, factor] : units) {
    if (name == text.substr(digits)) {
      return number <= std::numeric_limits<std::int64_t>::max() / factor
                 ? std::optional(number * factor)
                 : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto microseconds = ParseQuantity(text, kDurationUnits);
  return microseconds ? std::optional(Duration(*microseconds)) : std::nullopt;
}

std::string ToString(Duration duration) {
  const std::int64_t count = duration.count();
  if (count == 0) {
    return "0s";
  }
  for (const auto& [name, factor] : kDurationUnits) {
    if (count % factor == 0) {
      return std::to_string(count / factor) + std::string(name);
    }
  }
  return {};  // not reached: the last unit divides every count
}

std::optional<std::uint64_t> ParseBytes(std::string_view text) {
  const auto bytes = ParseQuantity(text, kByteUnits);
  return bytes ? std::optional(static_cast<std::uint64_t>(*bytes))
               : std::nullopt;
}

}  // namespace acacialug::settings
