#ifndef ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_
#define ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

namespace acacialug::entry_process {

struct JsonLimits {
  std::size_t depth = 32;
  std::size_t values = 200'000;
};

// Checks a text's brackets and commas before it is parsed. An 8 MB body of
// brackets makes a tree so deep that serializing it overflows the stack (the
// process dies, with all its requests); a body of commas makes a tree twenty
// times its size. Both are cheap to detect beforehand: the check is a single
// scan that allocates no memory. Thread safe.
bool JsonWithinBounds(std::string_view text, const JsonLimits& limits);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_
