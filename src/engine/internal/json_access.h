#ifndef ENGINE_INTERNAL_JSON_ACCESS_H_
#define ENGINE_INTERNAL_JSON_ACCESS_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace acacialug::engine {

using Json = nlohmann::json;

// Access to JSON that another program wrote: a member that is missing or has
// another type reads as the empty value and never throws. Thread safe.

// Returns a discarded value (is_discarded()) for text that is not JSON.
inline Json ParseJson(std::string_view text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Invalid UTF-8 is replaced, since dump would throw on it.
inline std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline const Json& Member(const Json& json, const char* name) {
  static const Json kNull;
  if (!json.is_object()) {
    return kNull;
  }
  const auto found = json.find(name);
  return found == json.end() ? kNull : *found;
}

inline std::string Text(const Json& json) {
  return json.is_string() ? json.get<std::string>() : std::string();
}

inline std::uint64_t Unsigned(const Json& json) {
  return json.is_number_unsigned() ? json.get<std::uint64_t>() : 0;
}

inline std::uint32_t Unsigned32(const Json& json) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Unsigned(json), kMax));
}

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_JSON_ACCESS_H_
