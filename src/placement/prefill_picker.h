#ifndef PLACEMENT_PREFILL_PICKER_H_
#define PLACEMENT_PREFILL_PICKER_H_

#include <cstddef>
#include <cstdint>

#include "placement/prefix_memory.h"
#include "placement/types/pick_rule.h"

namespace acacialug::placement {

// Picks prefill endpoints so that equal prefixes meet at the same engine:
// rendezvous hashing (Thaler and Ravishankar, 1998) over the longest prefix
// that was met before, among the endpoints whose work ahead is below a bound
// (consistent hashing with bounded loads, Mirrokni et al., 2016). Entries
// agree without talking, as they hash the same pieces. Not thread safe.
class PrefillPicker {
 public:
  struct Options {
    // An endpoint may have this multiple of the mean work ahead, plus the
    // time of the prompt itself.
    double load_bound = 1.25;
    std::size_t remembered_pieces = 8192;
  };

  explicit PrefillPicker(Options picker_options);

  // Null when every candidate was tried. Cost: O(candidates).
  EndpointView* Pick(Candidates candidates,
                     const PlacementNeed& need,
                     RandomSource& random);

  // The prefill was sent there: the next one of this prefix goes there too.
  void NoteSent(std::span<const std::uint64_t> prefix,
                const EndpointView& view);

  // Hint from an engine's cache events; they come late and with gaps, so
  // that nothing depends on them.
  void NoteEvicted(std::uint64_t piece, const EndpointView& view);

  // Leading pieces of the prompt that this endpoint most likely has.
  std::size_t CachedPieces(std::span<const std::uint64_t> prefix,
                           const EndpointView& view) const;

 private:
  std::uint64_t AffinityKey(const PlacementNeed& need,
                            RandomSource& random) const;

  Options options;
  PrefixMemory memory;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFILL_PICKER_H_
