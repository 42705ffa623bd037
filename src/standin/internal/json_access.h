#ifndef STANDIN_INTERNAL_JSON_ACCESS_H_
#define STANDIN_INTERNAL_JSON_ACCESS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

// Access to received JSON. A value that is absent or of another type yields the
// fallback; nothing throws. Thread safe.
namespace acacialug::standin {

inline nlohmann::json Parse(std::string_view text) {
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

inline std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns null if it is absent.
inline nlohmann::json ChildOr(const nlohmann::json& object, const char* key) {
  return object.is_object() && object.contains(key) ? object[key]
                                                    : nlohmann::json();
}

inline std::string TextOr(const nlohmann::json& object,
                          const char* key,
                          const std::string& fallback) {
  const nlohmann::json value = ChildOr(object, key);
  return value.is_string() ? value.get<std::string>() : fallback;
}

inline bool BoolOr(const nlohmann::json& object,
                   const char* key,
                   bool fallback) {
  const nlohmann::json value = ChildOr(object, key);
  return value.is_boolean() ? value.get<bool>() : fallback;
}

inline std::int64_t IntegerOr(const nlohmann::json& object,
                              const char* key,
                              std::int64_t fallback) {
  const nlohmann::json value = ChildOr(object, key);
  return value.is_number_integer() ? value.get<std::int64_t>() : fallback;
}

inline double NumberOr(const nlohmann::json& object,
                       const char* key,
                       double fallback) {
  const nlohmann::json value = ChildOr(object, key);
  return value.is_number() ? value.get<double>() : fallback;
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_JSON_ACCESS_H_
