#include "placement/decode_picker.h"

#include <array>
#include <functional>

namespace acacialug::placement {
namespace {

// The number of tokens whose generation time is added to the wait for a slot.
constexpr std::int64_t kTokensWeighed = 8;
constexpr std::size_t kMaxSampled = 16;

using Cost = std::function<double(const EndpointView&, const PlacementNeed&)>;

EndpointView* Cheapest(Candidates candidates,
                       const PlacementNeed& need,
                       const Cost& cost) {
  EndpointView* best = nullptr;
  double best_cost = 0;
  for (EndpointView* const view : candidates) {
    if (need.Tried(*view)) {
      continue;
    }
    const double view_cost = cost(*view, need);
    if (best == nullptr || view_cost < best_cost) {
      best = view;
      best_cost = view_cost;
    }
  }
  return best;
}

// Draws without repetition until enough untried endpoints are found. The number
// of draws is bounded; when almost all endpoints of the pool were tried, all
// candidates are scanned instead.
PickRule PickCheapestSampled(std::uint32_t wanted, Cost cost) {
  const std::size_t sampled = std::min<std::size_t>(wanted, kMaxSampled);
  return [sampled, cost = std::move(cost)](
             Candidates candidates, const PlacementNeed& need,
             RandomSource& random) -> EndpointView* {
    if (candidates.size() <= sampled + need.tried.size()) {
      return Cheapest(candidates, need, cost);
    }
    std::array<EndpointView*, kMaxSampled> drawn{};
    std::size_t count = 0;
    const std::size_t max_draws = 4 * sampled + need.tried.size();
    for (std::size_t draw = 0; draw < max_draws && count < sampled; ++draw) {
      EndpointView* const view = candidates[random.Below(candidates.size())];
      const auto end = drawn.begin() + static_cast<std::ptrdiff_t>(count);
      if (!need.Tried(*view) && std::find(drawn.begin(), end, view) == end) {
        drawn[count++] = view;
      }
    }
    return Cheapest(count == 0 ? candidates : Candidates(drawn.data(), count),
                    need, cost);
  };
}

}  // namespace

PickRule PickDecodeByPrediction(std::uint32_t sampled) {
  return PickCheapestSampled(
      sampled, [](const EndpointView& view, const PlacementNeed& need) {
        const Duration wait = view.SlotWait(need.kv_tokens, need.now) +
                              2 * view.Distance() +
                              kTokensWeighed * view.TokenInterval();
        return Seconds(wait) * (1.0 + view.Occupancy());
      });
}

EndpointView* SoonestFree(Candidates candidates, const PlacementNeed& need) {
  return Cheapest(candidates, need,
                  [](const EndpointView& view, const PlacementNeed& wanted) {
                    return Seconds(view.SlotWait(wanted.kv_tokens, wanted.now));
                  });
}

PickRule PickCallByPrediction(std::uint32_t sampled) {
  return PickCheapestSampled(
      sampled, [](const EndpointView& view, const PlacementNeed& need) {
        return Seconds(view.WorkAhead(need.now) + 2 * view.Distance()) +
               (view.Latency() + 1e-3) * (1.0 + view.Occupancy());
      });
}

PickRule PickRandom() {
  return PickCheapestSampled(
      1, [](const EndpointView&, const PlacementNeed&) { return 0.0; });
}

PickRule PickRoundRobin() {
  return
      [next = std::size_t{0}](Candidates candidates, const PlacementNeed& need,
                              RandomSource&) mutable -> EndpointView* {
        for (std::size_t step = 0; step < candidates.size(); ++step) {
          EndpointView* const view = candidates[next++ % candidates.size()];
          if (!need.Tried(*view)) {
            return view;
          }
        }
        return nullptr;
      };
}

PickRule PickLeastReported() {
  return [](Candidates candidates, const PlacementNeed& need, RandomSource&) {
    return Cheapest(
        candidates, need, [](const EndpointView& view, const PlacementNeed&) {
          const protocol::EndpointLoad& load = view.LastReport();
          return Seconds(load.work_ahead) + load.running + load.queued;
        });
  };
}

}  // namespace acacialug::placement
