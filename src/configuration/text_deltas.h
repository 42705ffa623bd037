#ifndef CONFIGURATION_TEXT_DELTAS_H_
#define CONFIGURATION_TEXT_DELTAS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "configuration/types/text_delta.h"
#include "framework/global/types/result.h"

namespace acacialug::configuration {

// Maximum size in bytes of a text made by a delta; the same bound as a
// manifest's.
inline constexpr std::size_t kLongestDeltaText = std::size_t{16} << 20U;

// XXH3, 128 bits. Detects errors, but not an attacker that can choose both
// texts. Thread safe.
TextDigest DigestOf(std::string_view text);

// Makes the delta from `base` to `target` by whole lines, in time linear in the
// sizes of both. Thread safe.
TextDelta MakeDelta(std::string_view base, std::string_view target);

// Thread safe. Errors: kManifestInvalid when a step names lines that `base`
// does not have, when the text would exceed kLongestDeltaText, or when its
// digest differs, which means that the delta was made from another base.
Result<std::string> ApplyDelta(std::string_view base, const TextDelta& delta);

}  // namespace acacialug::configuration

#endif  // CONFIGURATION_TEXT_DELTAS_H_
