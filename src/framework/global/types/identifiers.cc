#include "framework/global/types/identifiers.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace acacialug {
namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr std::size_t kRequestDigits = 2 * kHalfDigits;

template <typename Integer>
std::optional<Integer> ParseWhole(std::string_view text, int base) {
  Integer value{};
  const char* const last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, value, base);
  if (code != std::errc() || end != last || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const RequestId& id) {
  std::array<char, kRequestDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return {text.data(), kRequestDigits};
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != kRequestDigits) {
    return std::nullopt;
  }
  const auto high = ParseWhole<std::uint64_t>(text.substr(0, kHalfDigits), 16);
  const auto low = ParseWhole<std::uint64_t>(text.substr(kHalfDigits), 16);
  if (!high || !low) {
    return std::nullopt;
  }
  return RequestId{.high = *high, .low = *low};
}

std::string ToString(const AttemptId& id) {
  return ToString(id.request) + "-" + std::to_string(id.attempt.value) + "-" +
         std::to_string(id.entry.value);
}

std::optional<AttemptId> ParseAttemptId(std::string_view text) {
  const std::size_t first = text.find('-');
  const std::size_t second =
      first == std::string_view::npos ? first : text.find('-', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto request = ParseRequestId(text.substr(0, first));
  const auto attempt =
      ParseWhole<std::uint64_t>(text.substr(first + 1, second - first - 1), 10);
  const auto entry = ParseWhole<std::uint64_t>(text.substr(second + 1), 10);
  if (!request || !attempt || !entry) {
    return std::nullopt;
  }
  return AttemptId{.request = *request,
                   .attempt = AttemptNumber(*attempt),
                   .entry = Incarnation(*entry)};
}

}  // namespace acacialug
