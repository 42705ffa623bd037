#ifndef FRAMEWORK_GLOBAL_HEX_TEXT_H_
#define FRAMEWORK_GLOBAL_HEX_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacialug {

// 16 lower-case hexadecimal digits. Thread safe.
std::string HexText(std::uint64_t number);

// Up to 16 hexadecimal digits; empty: anything else. Thread safe.
std::optional<std::uint64_t> ReadHex(std::string_view text);

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_HEX_TEXT_H_
