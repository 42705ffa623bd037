#ifndef FRAMEWORK_GLOBAL_APPEND_BYTES_H_
#define FRAMEWORK_GLOBAL_APPEND_BYTES_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace acacialug {

// Appends and grows the text by a quarter at a time, where the usual doubling
// holds up to twice the bytes that arrived. Thread safe as far as `text` is.
inline void AppendBytes(std::string& text, std::string_view more) {
  const std::size_t needed = text.size() + more.size();
  if (needed > text.capacity()) {
    // A new string, since reserve() of this one would double it as well.
    std::string grown;
    grown.reserve(std::max(needed, text.capacity() + text.capacity() / 4));
    grown = text;
    text = std::move(grown);
  }
  text += more;
}

// Unlike clear(), frees what the text has allocated.
inline void FreeBytes(std::string& text) {
  std::string().swap(text);
}

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_APPEND_BYTES_H_
