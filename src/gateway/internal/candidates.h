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
  kPrefillBusy,  // a prompt is computed there that holds its streams up for
                 // longer than their callers allow
  kAvoided,      // silent, failing, or full a moment ago
  kTried,        // for the same request
};

// What is known of work that was placed and not yet told.
struct LoadStaleness {
  Duration near_age{};  // of news from one's own failure domain
  Duration far_age{};   // and from the others
  Duration hold{};      // for how long a piece of work is at its endpoint

  static LoadStaleness Measure(const LoadTable& load_table,
                               Duration hold,
                               Instant now);
};

// The endpoints that one piece of work may be placed at. Those of one's own
// failure domain and the others are weighed apart: of the first the news are
// fresher, and what is moved between domains takes longer. Within each an
// endpoint is chosen by ChooseByLevel. Not thread safe.
class Candidates {
 public:
  struct Choice {
    const EndpointRecord* endpoint = nullptr;  // null: there was none
    CandidateRank rank = CandidateRank::kHealthy;
    double load = 0;  // as expected by now
  };

  // `own_domain` outlives this object.
  explicit Candidates(const FailureDomain& own_domain) : domain(own_domain) {}

  // Work of all processes at an endpoint, whether it is a candidate or not.
  void NotePlaced(const EndpointRecord& endpoint, double load);

  // In the same unit as what is placed. `endpoint` outlives this object.
  void Add(const EndpointRecord& endpoint, CandidateRank rank, double load);

  // One of the own domain, unless one of another is expected to be less loaded
  // by more than `distance`, or has a better rank.
  Choice Choose(const LoadStaleness& staleness,
                double distance,
                RandomSource& random) const;

 private:
  // Of some failure domains, those of the best rank seen.
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
