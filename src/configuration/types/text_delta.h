#ifndef CONFIGURATION_TYPES_TEXT_DELTA_H_
#define CONFIGURATION_TYPES_TEXT_DELTA_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace acacialug::configuration {

// Digest of the resulting text: 128 bits as two words, the high one first.
struct TextDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const TextDigest&, const TextDigest&) = default;
};

// Lines of the base text, counted from 0.
struct CopyLines {
  std::uint64_t first = 0;
  std::uint64_t count = 0;

  friend bool operator==(const CopyLines&, const CopyLines&) = default;
};

// Copied lines or new text.
using DeltaStep = std::variant<CopyLines, std::string>;

// The steps that make one text from another, in order.
struct TextDelta {
  std::vector<DeltaStep> steps;
  TextDigest digest;

  friend bool operator==(const TextDelta&, const TextDelta&) = default;
};

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_TYPES_TEXT_DELTA_H_
