#include "gateway/call_placement.h"

#include <algorithm>

#include "gateway/internal/candidates.h"

namespace acacialug::gateway {
namespace {

// Max random addition to a load, as a share of the slots.
constexpr double kLoadSpread = 0.1;
// An endpoint in another failure domain is chosen only if its share of slots in
// use is lower by more than this: a request that crosses domains takes longer,
// and its traffic costs money.
constexpr double kOtherDomainPenalty = 0.17;
// A failure share of 0.1 weighs like 0.3 of the slots in use.
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
          busy + random.Unit() * kLoadSpread +
              kFailureWeight * this->health.FailureShare(endpoint->id));
    }
  }
  return candidates
      .Choose(LoadStaleness::Measure(this->load_table, need.hold, need.now),
              kOtherDomainPenalty, random)
      .endpoint;
}

}  // namespace acacialug::gateway
