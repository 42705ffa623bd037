#include "admission/caller_rates.h"

#include <algorithm>

namespace acacialug::admission {

TokenBucket::Options CallerRates::Share(
    const manifest::CallerLimits& limits) const {
  const double rate = limits.requests_per_second / this->shard_count;
  return {.per_second = rate,
          .burst = std::max(rate * limits.burst_seconds, 1.0)};
}

void CallerRates::SetShardCount(std::uint32_t newest, Instant now) {
  this->shard_count = std::max<std::uint32_t>(newest, 1);
  for (auto& [name, item] : this->tracked) {
    item.bucket.SetOptions(this->Share(item.limits), now);
  }
}

Duration CallerRates::Take(const manifest::CallerLimits& limits, Instant now) {
  if (limits.requests_per_second <= 0) {
    this->tracked.erase(limits.caller);
    return Duration::zero();
  }
  const auto [found, created] = this->tracked.try_emplace(
      limits.caller, Tracked{.bucket = TokenBucket(this->Share(limits), now),
                             .limits = limits});
  Tracked& item = found->second;
  if (item.limits.requests_per_second != limits.requests_per_second ||
      item.limits.burst_seconds != limits.burst_seconds) {
    item.limits = limits;
    item.bucket.SetOptions(this->Share(limits), now);
  }
  if (item.bucket.TryTake(now)) {
    return Duration::zero();
  }
  return std::max(item.bucket.Wait(now), Duration(1ms));
}

}  // namespace acacialug::admission
