#ifndef FRAMEWORK_GLOBAL_TYPES_ENUM_NAMES_H_
#define FRAMEWORK_GLOBAL_TYPES_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace acacialug {

// The table of names that stands beside each `enum class`.
template <typename Enum, std::size_t kSize>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kSize>;

// The name of a value; "unlisted" when the table lacks it. Thread safe.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const EnumNames<Enum, kSize>& names,
                                  Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) {
      return name;
    }
  }
  return "unlisted";
}

// The value of a name; empty when the table lacks it. Thread safe.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> ValueOf(const EnumNames<Enum, kSize>& names,
                                      std::string_view name) {
  for (const auto& [value, candidate] : names) {
    if (candidate == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_TYPES_ENUM_NAMES_H_
