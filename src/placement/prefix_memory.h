#ifndef PLACEMENT_PREFIX_MEMORY_H_
#define PLACEMENT_PREFIX_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace acacialug::placement {

// Which endpoint computed a prefix piece last, for the most recently used
// pieces that this entry met. A hint only: the engine may have evicted the
// piece, or another entry may have sent it elsewhere. Not thread safe.
class PrefixMemory {
 public:
  explicit PrefixMemory(std::size_t most_pieces) : limit(most_pieces) {}

  // The chain was computed by this endpoint (its EndpointView::Key).
  void Remember(std::span<const std::uint64_t> chain, std::uint64_t endpoint);

  // A cache event told that the endpoint dropped the piece.
  void Forget(std::uint64_t piece, std::uint64_t endpoint);

  // The longest prefix that was met before, and who computed it last. Its
  // pieces are counted from the first: who computed one had those before it.
  struct Known {
    std::size_t pieces = 0;  // 0: none
    std::uint64_t endpoint = 0;
  };
  Known Longest(std::span<const std::uint64_t> chain) const;

  // The number of leading pieces that this endpoint likely has.
  std::size_t PiecesAt(std::span<const std::uint64_t> chain,
                       std::uint64_t endpoint) const;

 private:
  struct Item {
    std::uint64_t piece = 0;
    std::uint64_t endpoint = 0;
  };
  using Items = std::list<Item>;

  std::size_t limit;
  Items recent;  // most recently used first
  std::unordered_map<std::uint64_t, Items::iterator> by_piece;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFIX_MEMORY_H_
