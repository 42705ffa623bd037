#ifndef GATEWAY_INTERNAL_CANDIDATES_H_
#define GATEWAY_INTERNAL_CANDIDATES_H_

#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/load_table.h"
#include "gateway/types/endpoint_record.h"

namespace acacialug::gateway {

// Endpoints of a better rank are chosen whatever their load.
enum class CandidateRank {
  kHealthy,
  kWithoutPrefill,  // has to compute prompts itself, which others need not
  kPrefillBusy,     // computes a prompt that delays its streams for longer than
                    // their callers allow
  kTooSlow,         // would not end the answer before the caller's deadline
  kAvoided,         // unresponsive, failing, or recently full
  kTried,           // for the same request
};

// How stale the load data is: work that peers have placed since their last
// reports is missing from it.
struct LoadStaleness {
  Duration near_age{};  // of reports from the local failure domain
  Duration far_age{};   // of reports from the other domains
  Duration hold{};      // for how long one work item stays at its endpoint

  static LoadStaleness Measure(const LoadTable& load_table,
                               Duration hold,
                               Instant now);
};

// The endpoints at which one work item may be placed. Endpoints of the local
// failure domain and of the others are weighed separately: load reports of the
// local domain are more recent, and a transfer between domains takes longer.
// Within each group an endpoint is chosen by ChooseByLevel. Not thread safe.
class Candidates {
 public:
  struct Choice {
    const EndpointRecord* endpoint = nullptr;  // null: no candidate
    CandidateRank rank = CandidateRank::kHealthy;
    double load = 0;  // expected at present
  };

  // `local_domain` outlives this object.
  explicit Candidates(const FailureDomain& local_domain)
      : domain(local_domain) {}

  // Counts the load that all processes have placed at an endpoint, whether it
  // is a candidate or not.
  void NotePlaced(const EndpointRecord& endpoint, double load);

  // `load` has the unit of NotePlaced. `endpoint` outlives this object.
  void Add(const EndpointRecord& endpoint, CandidateRank rank, double load);

  // An endpoint of the local domain, unless an endpoint of another domain is
  // expected to be less loaded by more than `distance`, or has a better rank.
  Choice Choose(const LoadStaleness& staleness,
                double distance,
                RandomSource& random) const;

 private:
  // The candidates of one group of failure domains: those of the best rank that
  // was added.
  struct Side {
    CandidateRank best = CandidateRank::kHealthy;
    std::vector<const EndpointRecord*> endpoints;
    std::vector<double> loads;
    double placed = 0;

    void Add(const EndpointRecord& endpoint, CandidateRank rank, double load);
    Choice Choose(Duration age, Duration hold, RandomSource& random) const;
  };

  Side& SideOf(const EndpointRecord& endpoint) {
    return endpoint.domain == this->domain ? this->near : this->far;
  }

  const FailureDomain& domain;
  Side near;
  Side far;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_CANDIDATES_H_
