#include "gateway/request_key.h"

#include <initializer_list>
#include <string_view>

#include "placement/types/hashing.h"

namespace acacialug::gateway {

retry::RequestKey RequestKeyOf(const WorkRequest& request) {
  // Each hash seeds the next, so that text does not pass from one part to
  // another unnoticed.
  std::uint64_t hash = 0;
  for (const std::string_view part : std::initializer_list<std::string_view>{
           request.message.method, request.host, request.message.target,
           request.message.body}) {
    hash = placement::HashText(part, hash);
  }
  return retry::RequestKey(hash);
}

std::string TextOf(retry::RequestKey key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  std::string text(2 * sizeof(key.value), '0');
  std::uint64_t rest = key.value;
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[rest % kDigits.size()];
    rest >>= kBitsPerDigit;
  }
  return text;
}

}  // namespace acacialug::gateway
