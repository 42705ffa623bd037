#include "framework/global/hex_text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace acacialug {
namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kDigits = 16;

}  // namespace

std::string HexText(std::uint64_t number) {
  std::array<char, kDigits> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kHexadecimal);
  std::string text(kDigits, '0');
  std::copy_backward(digits.data(), written.ptr, text.data() + text.size());
  return text;
}

std::optional<std::uint64_t> ReadHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number, kHexadecimal);
  return read.ec == std::errc() && read.ptr == end ? std::optional(number)
                                                   : std::nullopt;
}

}  // namespace acacialug
