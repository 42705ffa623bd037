#include "gateway/call_placement.h"

#include <algorithm>
#include <limits>

namespace acacialug::gateway {
namespace {

constexpr double kSpread = 0.1;
// A request that crosses domains takes 3 ms more and its bytes cost money; one
// of six slots more in use is worth that.
constexpr double kOtherDomain = 0.17;
// Each tenth of failures weighs like a third of the slots in use.
constexpr double kFailureWeight = 3.0;
constexpr double kAvoidedPenalty = 100.0;
constexpr double kTriedPenalty = 1000.0;

}  // namespace

double CallPlacement::Score(const Need& need,
                            const EndpointRecord& endpoint,
                            RandomSource& random) const {
  const EndpointLoad load = this->book.Of(endpoint.id);
  double score =
      static_cast<double>(load.requests) /
          static_cast<double>(std::max<std::uint32_t>(endpoint.slots, 1)) +
      random.Unit() * kSpread +
      kFailureWeight * this->health.FailureShare(endpoint.id);
  if (endpoint.domain != need.domain) {
    score += kOtherDomain;
  }
  if (this->health.Avoided(endpoint.id, need.now) ||
      this->health.Full(endpoint.id, need.now)) {
    score += kAvoidedPenalty;
  }
  if (std::find(need.tried.begin(), need.tried.end(), endpoint.id) !=
      need.tried.end()) {
    score += kTriedPenalty;
  }
  return score;
}

const EndpointRecord* CallPlacement::Pick(
    const Need& need,
    const std::vector<const EndpointRecord*>& endpoints,
    RandomSource& random) const {
  const EndpointRecord* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const EndpointRecord* const endpoint : endpoints) {
    const std::uint32_t most = endpoint->slots * (1 + kMostWaitingPerSlot);
    if (this->book.Of(endpoint->id).requests >= most) {
      continue;
    }
    const double score = this->Score(need, *endpoint, random);
    if (score < best_score) {
      best = endpoint;
      best_score = score;
    }
  }
  return best;
}

}  // namespace acacialug::gateway
