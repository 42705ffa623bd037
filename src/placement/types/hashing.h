#ifndef PLACEMENT_TYPES_HASHING_H_
#define PLACEMENT_TYPES_HASHING_H_

#include <cstdint>
#include <string_view>

namespace acacialug::placement {

// XXH64 of a text; the same on every host. Thread safe.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// The rendezvous weight of a pair of hashes: the finaliser of SplitMix64, as
// it takes a nanosecond and distributes well. Thread safe.
constexpr std::uint64_t RendezvousWeight(std::uint64_t first,
                                         std::uint64_t second) {
  std::uint64_t mixed = first + 0x9e3779b97f4a7c15ULL * (second | 1U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace acacialug::placement

#endif  // PLACEMENT_TYPES_HASHING_H_
