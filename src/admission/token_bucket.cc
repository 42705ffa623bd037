#include "admission/token_bucket.h"

#include <algorithm>

namespace acacialug::admission {

TokenBucket::TokenBucket(Options bucket_options, Instant now)
    : options(bucket_options), tokens(bucket_options.burst), refilled_at(now) {}

void TokenBucket::SetOptions(Options newest, Instant now) {
  this->Refill(now);
  this->options = newest;
  this->tokens = std::min(this->tokens, newest.burst);
}

void TokenBucket::Refill(Instant now) {
  const double gained =
      this->options.per_second * Seconds(now - this->refilled_at);
  this->tokens = std::min(this->tokens + gained, this->options.burst);
  this->refilled_at = now;
}

bool TokenBucket::TryTake(Instant now) {
  this->Refill(now);
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

Duration TokenBucket::Wait(Instant now) {
  this->Refill(now);
  if (this->tokens >= 1.0 || this->options.per_second <= 0) {
    return Duration::zero();
  }
  return FromSeconds((1.0 - this->tokens) / this->options.per_second);
}

}  // namespace acacialug::admission
