#ifndef PLACEMENT_PREFILL_PICKER_H_
#define PLACEMENT_PREFILL_PICKER_H_

#include <cstddef>
#include <cstdint>

#include "placement/prefix_memory.h"
#include "placement/types/pick_rule.h"

namespace acacialug::placement {

// Picks prefill endpoints so that prompts with equal prefixes go to the same
// engine: rendezvous hashing (Thaler and Ravishankar, 1998) over the longest
// known prefix, among the endpoints whose work ahead is below a bound (after
// consistent hashing with bounded loads, Mirrokni et al., 2016). Entries agree
// without communicating, as they hash the same prefix blocks.
//
// The bound is the time that the shared prefix saves: no request waits longer
// for an engine that has the prefix than another engine needs to compute it
// again. For a prompt that was computed before for the same request, the bound
// is a small multiple of this time. Not thread safe.
class PrefillPicker {
 public:
  struct Options {
    std::size_t remembered_blocks = 8192;
    // For an unknown prefix: the accepted wait as a share of the prompt's own
    // prefill time, so that the next prompt with the same prefix finds it at
    // the endpoint that all entries select by hashing.
    double speculation = 0.05;
    // The share of the expected tokens that is assumed to be still cached,
    // until engines report it.
    double initial_kept_share = 0.5;
  };

  explicit PrefillPicker(Options picker_options);

  // Null when every candidate was tried. Cost: O(candidates).
  EndpointView* Pick(Candidates candidates,
                     const PlacementNeed& need,
                     RandomSource& random);

  // The prefill was sent to this endpoint; the next one with this prefix
  // prefers the same endpoint.
  void NoteSent(std::span<const std::uint64_t> prefix,
                const EndpointView& view);

  // A hint from an engine's cache events. They arrive late and with gaps, so
  // nothing depends on them.
  void NoteEvicted(std::uint64_t block, const EndpointView& view);

  // Expected number of the prompt's tokens that this endpoint has cached: the
  // tokens that it was the last to compute, times the share of such tokens that
  // engines kept so far.
  double CachedTokens(const PlacementNeed& need,
                      const EndpointView& view) const;

  // The same for the endpoint that computed the longest known prefix.
  double CachedTokensAnywhere(const PlacementNeed& need) const;

  // An engine reported that it had `cached` tokens of the prompt; `expected` is
  // the earlier result of CachedTokens.
  void Learn(double expected, double cached);

 private:
  Duration MaxExtraWait(const PlacementNeed& need,
                        const EndpointView& view,
                        std::size_t shared) const;

  Options options;
  PrefixMemory memory;
  double kept_share;
};

}  // namespace acacialug::placement

#endif  // PLACEMENT_PREFILL_PICKER_H_
