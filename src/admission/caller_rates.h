#ifndef ADMISSION_CALLER_RATES_H_
#define ADMISSION_CALLER_RATES_H_

#include <cstdint>
#include <map>

#include "admission/token_bucket.h"
#include "framework/global/types/identifiers.h"
#include "manifest/types/manifest.h"

namespace acacialug::admission {

// The rate limits of callers at one entry's shard. A limit in the manifest
// applies to all entries together, and there is no shared counter: each shard
// grants rate / (live entries x shards), so that the sum never exceeds the
// rate. The cost: a caller whose connections the load balancer spreads unevenly
// gets less than its rate. The burst is divided in the same way, but never
// below one request. Not thread safe.
class CallerRates {
 public:
  // The number of shards, over all entries, that share each rate; greater than
  // 0.
  void SetShardCount(std::uint32_t shard_count, Instant now);

  // Returns zero, and counts one request, when the caller is below the limit;
  // else the time after which the caller may retry. A caller without a limit
  // isn't tracked.
  Duration Take(const manifest::CallerLimits& limits, Instant now);

 private:
  struct Tracked {
    TokenBucket bucket;
    manifest::CallerLimits limits;
  };

  TokenBucket::Options Share(const manifest::CallerLimits& limits) const;

  std::uint32_t shard_count = 1;
  std::map<CallerName, Tracked> tracked;  // bounded by the manifest's callers
};

}  // namespace acacialug::admission

#endif  // ADMISSION_CALLER_RATES_H_
