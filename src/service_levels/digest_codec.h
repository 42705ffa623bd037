#ifndef SERVICE_LEVELS_DIGEST_CODEC_H_
#define SERVICE_LEVELS_DIGEST_CODEC_H_

#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "service_levels/types/digest.h"
#include "service_levels/types/live_levels.h"

namespace acacialug::service_levels {

// The stream of the platform's log that holds digests.
inline constexpr char kDigestStream[] = "service-levels";
// The path on an entry's operations port that shows its LevelPage.
inline constexpr char kLevelPagePath[] = "/service-levels";

// Encode and decode the JSON described in docs/PROTOCOL.md. All four functions
// are thread safe. Unknown names of causes are read as Cause::kOther, since
// programs of two versions run side by side. Errors of the decoders:
// kPlatformBadAnswer with the problem; such a text is rejected as a whole.
std::string EncodeDigest(const Digest& digest);
Result<Digest> DecodeDigest(std::string_view payload);
std::string EncodeLevelPage(const LevelPage& page);
Result<LevelPage> DecodeLevelPage(std::string_view text);

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_DIGEST_CODEC_H_
