#ifndef PLACEMENT_PREFIX_HASHER_H_
#define PLACEMENT_PREFIX_HASHER_H_

#include <cstdint>
#include <string_view>

#include "framework/global/types/identifiers.h"
#include "protocol/types/generation.h"

namespace acacialug::placement {

// The estimated size of an input token where no engine has reported a token
// count.
inline constexpr std::uint64_t kBytesPerToken = 4;

// The chain of hashes of a prompt's whole prefix blocks of `block_tokens`
// tokens, each hash seeded by the previous one. A partial last block is left
// out, since no cache stores it. Empty for a prompt shorter than one block.
// Precondition: block_tokens > 0. Thread safe.
protocol::PrefixChain HashPrefix(const ModelName& model,
                                 std::string_view prompt_text,
                                 std::uint32_t block_tokens);

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFIX_HASHER_H_
