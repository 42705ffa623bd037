#include "entry_process/internal/json_bounds.h"

namespace acacialug::entry_process {
namespace {

// The index after the string that begins before `at`; the text's size if the
// string never ends (the parser then refuses it).
std::size_t SkipString(std::string_view text, std::size_t at) {
  while (at < text.size()) {
    at = text.find_first_of("\"\\", at);
    if (at == std::string_view::npos) {
      return text.size();
    }
    if (text[at] == '"') {
      return at + 1;
    }
    at += 2;
  }
  return text.size();
}

}  // namespace

bool JsonWithinBounds(std::string_view text, const JsonLimits& limits) {
  std::size_t depth = 0;
  std::size_t values = 1;
  for (std::size_t at = 0; at < text.size();) {
    switch (text[at++]) {
      case '"':
        at = SkipString(text, at);
        break;
      case '{':
      case '[':
        ++values;
        if (++depth > limits.depth) {
          return false;
        }
        break;
      case '}':
      case ']':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++values;
        break;
      default:
        break;
    }
    if (values > limits.values) {
      return false;
    }
  }
  return true;
}

}  // namespace acacialug::entry_process
