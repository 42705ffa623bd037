#ifndef AGENT_INTERNAL_PREFIX_MEMORY_H_
#define AGENT_INTERNAL_PREFIX_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "protocol/types/generation.h"

namespace acacialug::agent {

// Guesses how much of a prompt the engine's prefix cache holds, from the
// prompts that it computed lately and from how far such guesses came true.
// Without it a prompt that costs next to nothing is refused for its length.
// Not thread safe.
class PrefixMemory {
 public:
  explicit PrefixMemory(std::size_t max_blocks) : limit(max_blocks) {}

  // Of `prompt_tokens`, how many are probably cached.
  double CachedTokens(const protocol::PrefixChain& prefix,
                      std::uint64_t prompt_tokens) const;

  // The engine computed the prompt and says how much of it was cached.
  void OnComputed(const protocol::PrefixChain& prefix,
                  const protocol::Usage& usage);

 private:
  double MatchedShare(const protocol::PrefixChain& prefix) const;
  void Remember(std::uint64_t piece);

  std::size_t limit;
  std::list<std::uint64_t> recent;  // newest first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
  double trust = 1.0;  // cached tokens a matched token, smoothed
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_PREFIX_MEMORY_H_
