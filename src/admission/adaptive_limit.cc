#include "admission/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace acacialug::admission {
namespace {

constexpr double kRecentWeight = 0.1;
constexpr double kLongRunWeight = 0.002;
constexpr double kSmoothing = 0.2;
constexpr double kOverloadDecrease = 0.98;
// Bounds the decrease that one measurement causes.
constexpr double kMinGradient = 0.5;

}  // namespace

AdaptiveLimit::AdaptiveLimit(Options limit_options)
    : options(limit_options), limit(limit_options.initial) {}

void AdaptiveLimit::SetLimit(double newest) {
  this->limit =
      std::clamp(newest, this->options.min_limit, this->options.max_limit);
}

void AdaptiveLimit::EndMeasured(double latency) {
  const double used = this->in_flight;
  this->End();
  if (!(latency > 0)) {
    // The latency is below the clock's resolution. A first latency of zero
    // would make the ratio below 0/0 and the limit NaN, and no request would be
    // admitted from then on.
    return;
  }
  if (this->long_run <= 0) {
    this->long_run = latency;
    this->recent = latency;
  }
  this->recent += kRecentWeight * (latency - this->recent);
  this->long_run += kLongRunWeight * (latency - this->long_run);
  // After a long slow period the long-run mean must fall as fast as the pool's
  // latency.
  this->long_run = std::min(this->long_run, 2 * this->recent);
  const double gradient =
      std::clamp(this->options.tolerance * this->long_run / this->recent,
                 kMinGradient, 1.0);
  // The limit grows only when at least half of the limit is in use: otherwise
  // the limit isn't what restricts the load, and latency says nothing about a
  // higher one.
  if (gradient >= 1.0 && used < this->limit / 2) {
    return;
  }
  const double target = this->limit * gradient + std::sqrt(this->limit);
  this->SetLimit(this->limit + kSmoothing * (target - this->limit));
}

void AdaptiveLimit::EndOverloaded() {
  this->End();
  this->SetLimit(this->limit * kOverloadDecrease);
}

}  // namespace acacialug::admission
