#ifndef ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_
#define ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

namespace acacialug::entry_process {

struct JsonLimits {
  std::size_t depth = 32;
  std::size_t values = 200'000;
};

// Looks at a text's brackets and commas before it is parsed. A body of 8 MB
// that is all brackets makes a tree so deep that writing it out again ends
// the stack (the process dies, with all its requests); one that is all commas
// makes a tree twenty times its size. Both are cheap to see beforehand: this
// is one pass without memory. Thread safe.
bool JsonWithinBounds(std::string_view text, const JsonLimits& limits);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_JSON_BOUNDS_H_
