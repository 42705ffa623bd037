#include "framework/settings/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
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

// A decimal number in parts, and the unit behind it.
struct Quantity {
  std::string_view whole;
  std::string_view fraction;  // with its point; empty: none is written
  std::string_view unit;
};

std::size_t CountDigits(std::string_view text) {
  return std::min(text.find_first_not_of("0123456789"), text.size());
}

std::optional<Quantity> Split(std::string_view text) {
  Quantity quantity{.whole = text.substr(0, CountDigits(text))};
  quantity.unit = text.substr(quantity.whole.size());
  if (quantity.unit.starts_with('.')) {
    const std::size_t digits = CountDigits(quantity.unit.substr(1));
    if (digits == 0) {
      return std::nullopt;
    }
    quantity.fraction = quantity.unit.substr(0, 1 + digits);
    quantity.unit = quantity.unit.substr(1 + digits);
  }
  return quantity.whole.empty() ? std::nullopt : std::optional(quantity);
}

template <std::size_t kSize>
std::optional<std::int64_t> ToLeastUnit(const Quantity& quantity,
                                        const Units<kSize>& units) {
  std::int64_t number = 0;
  const std::string_view whole = quantity.whole;
  const auto parsed =
      std::from_chars(whole.data(), whole.data() + whole.size(), number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  double fraction = 0;
  std::from_chars(quantity.fraction.data(),
                  quantity.fraction.data() + quantity.fraction.size(),
                  fraction);
  for (const auto& [name, factor] : units) {
    if (name == quantity.unit) {
      const std::int64_t part =
          std::llround(fraction * static_cast<double>(factor));
      return number <=
                     (std::numeric_limits<std::int64_t>::max() - part) / factor
                 ? std::optional(number * factor + part)
                 : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto quantity = Split(text);
  if (!quantity) {
    return std::nullopt;
  }
  const auto microseconds = ToLeastUnit(*quantity, kDurationUnits);
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
  const auto quantity = Split(text);
  if (!quantity || !quantity->fraction.empty()) {
    return std::nullopt;
  }
  const auto bytes = ToLeastUnit(*quantity, kByteUnits);
  return bytes ? std::optional(static_cast<std::uint64_t>(*bytes))
               : std::nullopt;
}

}  // namespace acacialug::settings
