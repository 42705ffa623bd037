#ifndef FUZZ_FUZZ_SUPPORT_H_
#define FUZZ_FUZZ_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace acacialug::fuzz {

inline std::string_view Text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Stops the fuzzer, which then saves the input, if an invariant does not hold.
inline void Require(bool condition) {
  if (!condition) {
    __builtin_trap();
  }
}

}  // namespace acacialug::fuzz

#endif  // FUZZ_FUZZ_SUPPORT_H_
