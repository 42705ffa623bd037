#ifndef AGENT_INTERNAL_PREFIX_MEMORY_H_
#define AGENT_INTERNAL_PREFIX_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "protocol/types/generation.h"

namespace acacialug::agent {

// Estimates how much of a prompt the engine's prefix cache holds, from the
// prompts that it computed recently and from the accuracy of earlier estimates.
// Without it a prompt that costs almost nothing is refused for its length. Not
// thread safe.
class PrefixMemory {
 public:
  explicit PrefixMemory(std::size_t max_blocks) : limit(max_blocks) {}

  // The number of `prompt_tokens` that are probably cached.
  double CachedTokens(const protocol::PrefixChain& prefix,
                      std::uint64_t prompt_tokens) const;

  // The engine computed the prompt and reports how much of it was cached.
  void OnComputed(const protocol::PrefixChain& prefix,
                  const protocol::Usage& usage);

 private:
  double MatchedShare(const protocol::PrefixChain& prefix) const;
  void Remember(std::uint64_t piece);

  std::size_t limit;
  std::list<std::uint64_t> recent;  // newest first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions;
  double trust = 1.0;  // cached tokens for each matched token, smoothed
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_PREFIX_MEMORY_H_
