#ifndef GATEWAY_TYPES_STORE_POSITION_H_
#define GATEWAY_TYPES_STORE_POSITION_H_

#include <algorithm>
#include <cstdint>

#include "framework/global/types/identifiers.h"

namespace acacialug::gateway {

// A store that returns from an older copy gives out offsets again, and names a
// higher era. Positions therefore hold the era in front of the offset, so that
// every position of a later era is behind all positions of earlier ones.
// Without eras (zero) a position is the offset itself.
inline constexpr unsigned kStoreOffsetBits = 40;
inline constexpr std::uint64_t kMaxStoreOffset =
    (std::uint64_t{1} << kStoreOffsetBits) - 1;
// Eras are also part of fencing tokens, which JSON readers may hold as doubles.
inline constexpr std::uint64_t kMaxStoreEra = (std::uint64_t{1} << 21U) - 1;

// Preconditions: `era` <= kMaxStoreEra, `offset` <= kMaxStoreOffset. Thread
// safe, as are the functions below.
constexpr LogOffset PositionOf(std::uint64_t era, std::uint64_t offset) {
  return LogOffset((era << kStoreOffsetBits) | offset);
}

constexpr std::uint64_t EraOf(LogOffset position) {
  return position.value >> kStoreOffsetBits;
}

constexpr std::uint64_t OffsetOf(LogOffset position) {
  return position.value & kMaxStoreOffset;
}

// Rises with the position, also over a return of the store; never zero, which
// stands for none. Distinct for 2^32 records of a topic, and exact as a double.
constexpr std::uint64_t FencingTokenOf(LogOffset position) {
  constexpr unsigned kTermBits = 32;
  constexpr std::uint64_t kMaxTerm = (std::uint64_t{1} << kTermBits) - 2;
  return (EraOf(position) << kTermBits) +
         std::min(OffsetOf(position), kMaxTerm) + 1;
}

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_STORE_POSITION_H_
