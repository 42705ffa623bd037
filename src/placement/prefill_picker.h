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
// (after consistent hashing with bounded loads, Mirrokni et al., 2016).
// Entries agree without talking, as they hash the same pieces.
//
// The bound is what the shared prefix is worth: nobody waits longer for an
// engine that has it than computing it again elsewhere takes, and for a prompt
// that this very request had computed not much longer. Not thread safe.
class PrefillPicker {
 public:
  struct Options {
    std::size_t remembered_pieces = 8192;
    // For a prefix not met before: part of the prompt's own time that may be
    // waited so that the next one like it finds it where all entries look.
    double speculation = 0.05;
    // How much of what should be cached is, until the engines have told.
    double initial_trust = 0.5;
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

  // Tokens of the prompt that this endpoint most likely has cached: what it
  // computed last, times the share of such that engines had kept.
  double CachedTokens(const PlacementNeed& need,
                      const EndpointView& view) const;

  // The same for whichever endpoint has most of it.
  double CachedTokensAnywhere(const PlacementNeed& need) const;

  // An engine said how many tokens of the prompt it had; `expected` is what
  // CachedTokens had said of it.
  void Learn(double expected, double cached);

 private:
  Duration WorthWaiting(const PlacementNeed& need,
                        const EndpointView& view,
                        std::size_t shared) const;

  Options options;
  PrefixMemory memory;
  double trust;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFILL_PICKER_H_
