#include "placement/types/hashing.h"

#include <xxhash.h>

namespace acacialug::placement {

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace acacialug::placement
