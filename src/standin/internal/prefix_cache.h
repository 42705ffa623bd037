#ifndef STANDIN_INTERNAL_PREFIX_CACHE_H_
#define STANDIN_INTERNAL_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "protocol/types/generation.h"
#include "standin/types/engine_messages.h"

namespace acacialug::standin {

// The cached blocks of prompts of an engine. Evicts the least recently used
// block first. Not thread safe.
class PrefixCache {
 public:
  struct Options {
    std::uint32_t capacity = 0;  // blocks
    std::function<void(CacheEventKind kind, std::uint64_t hash)> on_event;
  };

  explicit PrefixCache(Options cache_options);

  // The number of cached blocks at the beginning of the chain; they become the
  // most recently used.
  std::size_t Find(const protocol::PrefixChain& chain);

  void Store(const protocol::PrefixChain& chain);

  void Clear();

 private:
  // Later blocks are useless without the earlier ones, so that the first block
  // of a chain must be evicted last: it is touched last.
  void TouchFirst(const protocol::PrefixChain& chain, std::size_t count);

  Options options;
  std::list<std::uint64_t> recent;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_PREFIX_CACHE_H_
