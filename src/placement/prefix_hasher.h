#ifndef PLACEMENT_PREFIX_HASHER_H_
#define PLACEMENT_PREFIX_HASHER_H_

#include <cstdint>
#include <string_view>

#include "framework/global/types/identifiers.h"
#include "protocol/types/generation.h"

namespace acacialug::placement {

// Input tokens are guessed as four bytes each wherever no engine has told.
inline constexpr std::uint64_t kBytesPerToken = 4;

// The chain of hashes of a prompt's whole pieces of `block_tokens` tokens,
// each hash seeded by the one before; the last, partial piece is left out,
// since no cache holds it. Empty for a prompt shorter than one piece.
// Precondition: block_tokens > 0. Thread safe.
protocol::PrefixChain HashPrefix(const ModelName& model,
                                 std::string_view prompt_text,
                                 std::uint32_t block_tokens);

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFIX_HASHER_H_
