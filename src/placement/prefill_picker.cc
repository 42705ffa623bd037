#include "placement/prefill_picker.h"

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

Duration MeanWorkAhead(Candidates candidates, const PlacementNeed& need) {
  Duration total{};
  std::int64_t count = 0;
  for (const EndpointView* const view : candidates) {
    if (!need.Tried(*view)) {
      total += view->WorkAhead(need.now);
      ++count;
    }
  }
  return count == 0 ? Duration::zero() : total / count;
}

}  // namespace

PrefillPicker::PrefillPicker(Options picker_options)
    : options(picker_options), memory(this->options.remembered_pieces) {}

std::uint64_t PrefillPicker::AffinityKey(const PlacementNeed& need,
                                         RandomSource& random) const {
  if (need.prefix.empty()) {
    return random.Next();
  }
  const std::size_t shared = this->memory.SharedPieces(need.prefix);
  return need.prefix[shared == 0 ? 0 : shared - 1];
}

EndpointView* PrefillPicker::Pick(Candidates candidates,
                                  const PlacementNeed& need,
                                  RandomSource& random) {
  const std::uint64_t key = this->AffinityKey(need, random);
  const Duration mean = MeanWorkAhead(candidates, need);
  const Duration bound = FromSeconds(this->options.load_bound * Seconds(mean));
  EndpointView* preferred = nullptr;
  std::uint64_t preferred_weight = 0;
  EndpointView* least = nullptr;
  Duration least_ahead{};
  for (EndpointView* const view : candidates) {
    if (need.Tried(*view)) {
      continue;
    }
    const Duration ahead = view->WorkAhead(need.now) + 2 * view->Distance();
    if (least == nullptr || ahead < least_ahead) {
      least = view;
      least_ahead = ahead;
    }
    const std::uint64_t weight = RendezvousWeight(key, view->Key());
    const Duration own = view->PrefillTime(need.prompt_tokens);
    if (ahead <= bound + own &&
        (preferred == nullptr || weight > preferred_weight)) {
      preferred = view;
      preferred_weight = weight;
    }
  }
  // Without a prefix worth meeting again, the shortest queue wins.
  return need.prefix.empty() || preferred == nullptr ? least : preferred;
}

void PrefillPicker::NoteSent(std::span<const std::uint64_t> prefix,
                             const EndpointView& view) {
  this->memory.Remember(prefix, view.Key());
}

void PrefillPicker::NoteEvicted(std::uint64_t piece, const EndpointView& view) {
  this->memory.Forget(piece, view.Key());
}

std::size_t PrefillPicker::CachedPieces(std::span<const std::uint64_t> prefix,
                                        const EndpointView& view) const {
  return this->memory.PiecesAt(prefix, view.Key());
}

}  // namespace acacialug::placement
