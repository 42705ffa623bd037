#include "placement/prefix_hasher.h"

#include "placement/types/hashing.h"

namespace acacialug::placement {

protocol::PrefixChain HashPrefix(const ModelName& model,
                                 std::string_view prompt_text,
                                 std::uint32_t block_tokens) {
  const std::size_t block_bytes = block_tokens * kBytesPerToken;
  protocol::PrefixChain chain;
  chain.reserve(prompt_text.size() / block_bytes);
  std::uint64_t hash = HashText(model.text);
  while (prompt_text.size() >= block_bytes) {
    hash = HashText(prompt_text.substr(0, block_bytes), hash);
    chain.push_back(hash);
    prompt_text.remove_prefix(block_bytes);
  }
  return chain;
}

}  // namespace acacialug::placement
