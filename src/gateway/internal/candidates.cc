#include "gateway/internal/candidates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "gateway/level_choice.h"

namespace acacialug::gateway {
namespace {

constexpr Duration kMinHold = 1ms;

}  // namespace

LoadStaleness LoadStaleness::Measure(const LoadTable& load_table,
                                     Duration hold,
                                     Instant now) {
  return {.near_age = load_table.ReportAge(LoadTable::Nearness::kNear, now),
          .far_age = load_table.ReportAge(LoadTable::Nearness::kFar, now),
          .hold = hold};
}

void Candidates::NotePlaced(const EndpointRecord& endpoint, double load) {
  this->SideOf(endpoint).placed += load;
}

void Candidates::Add(const EndpointRecord& endpoint,
                     CandidateRank rank,
                     double load) {
  this->SideOf(endpoint).Add(endpoint, rank, load);
}

void Candidates::Side::Add(const EndpointRecord& endpoint,
                           CandidateRank rank,
                           double load) {
  if (this->endpoints.empty() || rank < this->best) {
    this->endpoints.clear();
    this->loads.clear();
    this->best = rank;
  }
  if (rank == this->best) {
    this->endpoints.push_back(&endpoint);
    this->loads.push_back(load);
  }
}

Candidates::Choice Candidates::Side::Choose(Duration age,
                                            Duration hold,
                                            RandomSource& random) const {
  // Work is assumed to be placed at the rate at which it ends, and each item
  // stays for `hold`, so that Little's law gives the load that was placed since
  // the reports.
  const double age_in_holds = Seconds(age) / Seconds(std::max(hold, kMinHold));
  const auto at =
      ChooseByLevel(this->loads, this->placed * age_in_holds, random);
  if (!at) {
    return {};
  }
  const double mean =
      std::accumulate(this->loads.begin(), this->loads.end(), 0.0) /
      static_cast<double>(this->loads.size());
  // This share of the reported load has not ended yet. Load that was placed
  // since is equally likely at each endpoint, so that it adds nothing to the
  // difference from the mean.
  const double still_there = std::exp(-age_in_holds);
  return {.endpoint = this->endpoints[*at],
          .rank = this->best,
          .load = mean + (this->loads[*at] - mean) * still_there};
}

Candidates::Choice Candidates::Choose(const LoadStaleness& staleness,
                                      double distance,
                                      RandomSource& random) const {
  const Choice near_choice =
      this->near.Choose(staleness.near_age, staleness.hold, random);
  const Choice far_choice =
      this->far.Choose(staleness.far_age, staleness.hold, random);
  if (near_choice.endpoint == nullptr || far_choice.endpoint == nullptr) {
    return near_choice.endpoint == nullptr ? far_choice : near_choice;
  }
  if (near_choice.rank != far_choice.rank) {
    return near_choice.rank < far_choice.rank ? near_choice : far_choice;
  }
  return near_choice.load <= far_choice.load + distance ? near_choice
                                                        : far_choice;
}

}  // namespace acacialug::gateway
