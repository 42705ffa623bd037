#ifndef CONFIGURATION_TEXT_DELTAS_H_
#define CONFIGURATION_TEXT_DELTAS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "configuration/types/text_delta.h"
#include "framework/global/types/result.h"

namespace acacialug::configuration {

// The longest text that a delta may make, in bytes; a manifest's own bound.
inline constexpr std::size_t kLongestDeltaText = std::size_t{16} << 20U;

// XXH3, 128 bits: against errors, not against who can choose both texts.
// Thread safe.
TextDigest DigestOf(std::string_view text);

// The way from `base` to `target` by whole lines, in a time that is linear in
// both. Thread safe.
TextDelta MakeDelta(std::string_view base, std::string_view target);

// Thread safe. Errors: kManifestInvalid when a step names lines that `base`
// does not have, the text would exceed kLongestDeltaText, or its digest is
// another one: this base is not the one that the delta was made from.
Result<std::string> ApplyDelta(std::string_view base, const TextDelta& delta);

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_TEXT_DELTAS_H_
