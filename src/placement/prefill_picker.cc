#include "placement/prefill_picker.h"

#include <algorithm>
#include <limits>

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

constexpr double kTrustWeight = 0.05;
// A prompt that is computed again takes its time from every request that waits
// for the pool, so that avoiding it is worth more than that time to one.
constexpr double kRepeatWorth = 3;

Duration ReadyIn(const EndpointView& view, const PlacementNeed& need) {
  return view.WorkAhead(need.now) + 2 * view.Distance();
}

// The endpoint with the least work ahead; null when all were tried.
EndpointView* LeastAhead(Candidates candidates, const PlacementNeed& need) {
  EndpointView* least = nullptr;
  Duration least_ahead{};
  for (EndpointView* const view : candidates) {
    if (need.Tried(*view)) {
      continue;
    }
    const Duration ahead = ReadyIn(*view, need);
    if (least == nullptr || ahead < least_ahead) {
      least = view;
      least_ahead = ahead;
    }
  }
  return least;
}

}  // namespace

PrefillPicker::PrefillPicker(Options picker_options)
    : options(picker_options),
      memory(this->options.remembered_pieces),
      trust(this->options.initial_trust) {}

Duration PrefillPicker::WorthWaiting(const PlacementNeed& need,
                                     const EndpointView& view,
                                     std::size_t shared) const {
  const double own = Seconds(view.PrefillTime(need.prompt_tokens));
  const double saved = Seconds(view.PrefillTime(shared * need.block_tokens));
  if (need.repeated) {
    return FromSeconds(kRepeatWorth * saved);
  }
  return FromSeconds(
      std::max(this->trust * saved, this->options.speculation * own));
}

EndpointView* PrefillPicker::Pick(Candidates candidates,
                                  const PlacementNeed& need,
                                  RandomSource&) {
  EndpointView* const least = LeastAhead(candidates, need);
  if (need.prefix.empty() || least == nullptr) {
    return least;
  }
  const PrefixMemory::Known known = this->memory.Longest(need.prefix);
  const std::uint64_t key =
      need.prefix[std::max<std::size_t>(known.pieces, 1) - 1];
  const Duration bound =
      ReadyIn(*least, need) + this->WorthWaiting(need, *least, known.pieces);
  EndpointView* preferred = least;
  std::uint64_t preferred_weight = 0;
  for (EndpointView* const view : candidates) {
    // Who computed the longest prefix last goes before any weight.
    const bool has_prefix = known.pieces > 0 && view->Key() == known.endpoint;
    const std::uint64_t weight = has_prefix
                                     ? std::numeric_limits<std::uint64_t>::max()
                                     : RendezvousWeight(key, view->Key());
    if (weight >= preferred_weight && ReadyIn(*view, need) <= bound &&
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

void PrefillPicker::NoteEvicted(std::uint64_t piece, const EndpointView& view) {
  this->memory.Forget(piece, view.Key());
}

double PrefillPicker::CachedTokens(const PlacementNeed& need,
                                   const EndpointView& view) const {
  const std::size_t pieces = this->memory.PiecesAt(need.prefix, view.Key());
  return this->trust * static_cast<double>(pieces * need.block_tokens);
}

double PrefillPicker::CachedTokensAnywhere(const PlacementNeed& need) const {
  const std::size_t pieces = this->memory.Longest(need.prefix).pieces;
  return this->trust * static_cast<double>(pieces * need.block_tokens);
}

void PrefillPicker::Learn(double expected, double cached) {
  if (expected > 0) {
    const double measured = std::min(this->trust * cached / expected, 1.0);
    this->trust += kTrustWeight * (measured - this->trust);
  }
}

}  // namespace acacialug::placement
