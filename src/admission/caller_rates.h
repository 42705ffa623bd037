#ifndef ADMISSION_CALLER_RATES_H_
#define ADMISSION_CALLER_RATES_H_

#include <cstdint>
#include <map>

#include "admission/token_bucket.h"
#include "framework/global/types/identifiers.h"
#include "manifest/types/manifest.h"

namespace acacialug::admission {

// The rate limits of callers at one entry's shard. A limit in the manifest
// holds over all entries, and there is no shared counter: each shard grants
// rate / (live entries x shards), so that the sum never exceeds the rate.
// The price: a caller whose connections the balancer spreads unevenly gets
// less than its rate. The burst is divided in the same way, but never below
// one request. Not thread safe.
class CallerRates {
 public:
  // How many shards of entries share each rate; greater than 0.
  void SetShardCount(std::uint32_t sharers, Instant now);

  // Zero when the caller may go on (and one request is counted); else the
  // time after which it may try again. A caller without limit is not tracked.
  Duration Take(const manifest::CallerLimits& limits, Instant now);

 private:
  struct Tracked {
    TokenBucket bucket;
    manifest::CallerLimits limits;
  };

  TokenBucket::Options Share(const manifest::CallerLimits& limits) const;

  std::uint32_t sharers = 1;
  std::map<CallerName, Tracked> tracked;  // bounded by the manifest's callers
};

}  // namespace acacialug::admission

#endif  // ADMISSION_CALLER_RATES_H_
