#include "gateway/call_placement.h"

#include <algorithm>

#include "gateway/internal/candidates.h"

namespace acacialug::gateway {
namespace {

constexpr double kSpread = 0.1;
// A request that crosses domains takes longer and its bytes cost money; so much
// of the slots more in use is worth that.
constexpr double kOtherDomain = 0.17;
// Each tenth of failures weighs like a third of the slots in use.
constexpr double kFailureWeight = 3.0;

double BusyShare(const EndpointLoad& load, const EndpointRecord& endpoint) {
  return static_cast<double>(load.requests) /
         static_cast<double>(std::max<std::uint32_t>(endpoint.slots, 1));
}

CandidateRank RankOf(const EndpointRecord& endpoint,
                     const CallPlacement::Need& need,
                     const EndpointHealth& health) {
  if (std::find(need.tried.begin(), need.tried.end(), endpoint.id) !=
      need.tried.end()) {
    return CandidateRank::kTried;
  }
  return health.Avoided(endpoint.id, need.now) ||
                 health.Full(endpoint.id, need.now)
             ? CandidateRank::kAvoided
             : CandidateRank::kHealthy;
}

}  // namespace

const EndpointRecord* CallPlacement::Pick(
    const Need& need,
    const std::vector<const EndpointRecord*>& endpoints,
    RandomSource& random) const {
  Candidates candidates(need.domain);
  for (const EndpointRecord* const endpoint : endpoints) {
    const EndpointLoad load = this->load_table.TotalAt(endpoint->id);
    const double busy = BusyShare(load, *endpoint);
    candidates.NotePlaced(*endpoint, busy);
    if (load.requests < endpoint->slots * (1 + kMaxWaitingPerSlot)) {
      candidates.Add(
          *endpoint, RankOf(*endpoint, need, this->health),
          busy + random.Unit() * kSpread +
              kFailureWeight * this->health.FailureShare(endpoint->id));
    }
  }
  return candidates
      .Choose(LoadStaleness::Measure(this->load_table, need.hold, need.now),
              kOtherDomain, random)
      .endpoint;
}

}  // namespace acacialug::gateway
