#include "framework/global/types/identifiers.h"

#include <charconv>

#include "framework/global/hex_text.h"

namespace acacialug {
namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr std::size_t kRequestDigits = 2 * kHalfDigits;

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t value{};
  const char* const last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, value);
  if (code != std::errc() || end != last || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const RequestId& id) {
  return HexText(id.high) + HexText(id.low);
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != kRequestDigits) {
    return std::nullopt;
  }
  const auto high = ReadHex(text.substr(0, kHalfDigits));
  const auto low = ReadHex(text.substr(kHalfDigits));
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
  const auto attempt = ParseWhole(text.substr(first + 1, second - first - 1));
  const auto entry = ParseWhole(text.substr(second + 1));
  if (!request || !attempt || !entry) {
    return std::nullopt;
  }
  return AttemptId{.request = *request,
                   .attempt = AttemptNumber(*attempt),
                   .entry = Incarnation(*entry)};
}

}  // namespace acacialug
