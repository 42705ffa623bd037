#ifndef STANDIN_INTERNAL_QUERY_H_
#define STANDIN_INTERNAL_QUERY_H_

#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace acacialug::standin {

// A number in a target's query; the fallback if it is absent or invalid. Thread
// safe.
inline std::uint64_t QueryNumber(std::string_view target,
                                 std::string_view key,
                                 std::uint64_t fallback) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    if (rest.starts_with(key) && rest.substr(key.size()).starts_with('=')) {
      const std::string_view text = rest.substr(key.size() + 1);
      std::uint64_t number = 0;
      const auto [end, error] =
          std::from_chars(text.data(), text.data() + text.size(), number);
      const bool whole = end == text.data() + text.size() || *end == '&';
      return error == std::errc() && whole ? number : fallback;
    }
    at = target.find('&', at + 1);
  }
  return fallback;
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_QUERY_H_
