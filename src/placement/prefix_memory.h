#ifndef PLACEMENT_PREFIX_MEMORY_H_
#define PLACEMENT_PREFIX_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace acacialug::placement {

// Records which endpoint computed a prefix block last, for the most recently
// used blocks of this entry. Only a hint: the engine may have evicted the
// block, or another entry may have sent it to a different endpoint. Not thread
// safe.
class PrefixMemory {
 public:
  explicit PrefixMemory(std::size_t max_blocks) : limit(max_blocks) {}

  // This endpoint (an EndpointView::Key) computed the chain.
  void Remember(std::span<const std::uint64_t> chain, std::uint64_t endpoint);

  // A cache event reported that the endpoint evicted the block.
  void Forget(std::uint64_t block, std::uint64_t endpoint);

  // The longest known prefix, and the endpoint that computed it last. `blocks`
  // counts from the first block: an endpoint that computed a block also had all
  // blocks before it.
  struct Known {
    std::size_t blocks = 0;  // 0: none
    std::uint64_t endpoint = 0;
  };
  Known Longest(std::span<const std::uint64_t> chain) const;

  // The number of leading blocks that this endpoint has probably cached.
  std::size_t BlocksAt(std::span<const std::uint64_t> chain,
                       std::uint64_t endpoint) const;

 private:
  struct Item {
    std::uint64_t block = 0;
    std::uint64_t endpoint = 0;
  };
  using Items = std::list<Item>;

  std::size_t limit;
  Items recent;  // most recently used first
  std::unordered_map<std::uint64_t, Items::iterator> by_block;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFIX_MEMORY_H_
