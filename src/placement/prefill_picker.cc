#include "placement/prefill_picker.h"

#include <algorithm>
#include <limits>

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

constexpr double kKeptShareWeight = 0.05;
// Computing a prompt again delays every request that waits for the pool, so
// avoiding it is worth a longer wait than the time saved for one request.
constexpr double kRecomputeFactor = 3;

Duration TimeToStart(const EndpointView& view, const PlacementNeed& need) {
  return view.WorkAhead(need.now) + 2 * view.Distance();
}

// The endpoint with the least work ahead; null when all were tried.
EndpointView* LeastLoaded(Candidates candidates, const PlacementNeed& need) {
  EndpointView* least_loaded = nullptr;
  Duration min_ahead{};
  for (EndpointView* const view : candidates) {
    if (need.Tried(*view)) {
      continue;
    }
    const Duration ahead = TimeToStart(*view, need);
    if (least_loaded == nullptr || ahead < min_ahead) {
      least_loaded = view;
      min_ahead = ahead;
    }
  }
  return least_loaded;
}

}  // namespace

PrefillPicker::PrefillPicker(Options picker_options)
    : options(picker_options),
      memory(this->options.remembered_blocks),
      kept_share(this->options.initial_kept_share) {}

Duration PrefillPicker::MaxExtraWait(const PlacementNeed& need,
                                     const EndpointView& view,
                                     std::size_t shared) const {
  const double whole_prompt = Seconds(view.PrefillTime(need.prompt_tokens));
  const double saved = Seconds(view.PrefillTime(shared * need.block_tokens));
  if (need.repeated) {
    return FromSeconds(kRecomputeFactor * saved);
  }
  return FromSeconds(std::max(this->kept_share * saved,
                              this->options.speculation * whole_prompt));
}

EndpointView* PrefillPicker::Pick(Candidates candidates,
                                  const PlacementNeed& need,
                                  RandomSource&) {
  EndpointView* const least_loaded = LeastLoaded(candidates, need);
  if (need.prefix.empty() || least_loaded == nullptr) {
    return least_loaded;
  }
  const PrefixMemory::Known known = this->memory.Longest(need.prefix);
  const std::uint64_t key =
      need.prefix[std::max<std::size_t>(known.blocks, 1) - 1];
  const Duration bound = TimeToStart(*least_loaded, need) +
                         this->MaxExtraWait(need, *least_loaded, known.blocks);
  EndpointView* preferred = least_loaded;
  std::uint64_t preferred_weight = 0;
  for (EndpointView* const view : candidates) {
    // The endpoint that computed the longest prefix last takes precedence over
    // any weight.
    const bool has_prefix = known.blocks > 0 && view->Key() == known.endpoint;
    const std::uint64_t weight = has_prefix
                                     ? std::numeric_limits<std::uint64_t>::max()
                                     : RendezvousWeight(key, view->Key());
    if (weight >= preferred_weight && TimeToStart(*view, need) <= bound &&
        !need.Tried(*view)) {
      preferred = view;
      preferred_weight = weight;
    }
  }
  return preferred;
}

void PrefillPicker::NoteSent(std::span<const std::uint64_t> prefix,
                             const EndpointView& view) {
  this->memory.Remember(prefix, view.Key());
}

void PrefillPicker::NoteEvicted(std::uint64_t block, const EndpointView& view) {
  this->memory.Forget(block, view.Key());
}

double PrefillPicker::CachedTokens(const PlacementNeed& need,
                                   const EndpointView& view) const {
  const std::size_t blocks = this->memory.BlocksAt(need.prefix, view.Key());
  return this->kept_share * static_cast<double>(blocks * need.block_tokens);
}

double PrefillPicker::CachedTokensAnywhere(const PlacementNeed& need) const {
  const std::size_t blocks = this->memory.Longest(need.prefix).blocks;
  return this->kept_share * static_cast<double>(blocks * need.block_tokens);
}

void PrefillPicker::Learn(double expected, double cached) {
  if (expected > 0) {
    const double measured = std::min(this->kept_share * cached / expected, 1.0);
    this->kept_share += kKeptShareWeight * (measured - this->kept_share);
  }
}

}  // namespace acacialug::placement
