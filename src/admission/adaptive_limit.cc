#include "admission/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace acacialug::admission {
namespace {

constexpr double kRecentWeight = 0.1;
constexpr double kLongRunWeight = 0.002;
constexpr double kSmoothing = 0.2;
constexpr double kOverloadDecrease = 0.98;
// One measurement cuts the limit no further than this.
constexpr double kLeastGradient = 0.5;

}  // namespace

AdaptiveLimit::AdaptiveLimit(Options limit_options)
    : options(limit_options), limit(limit_options.initial) {}

void AdaptiveLimit::SetLimit(double newest) {
  this->limit = std::clamp(newest, this->options.least, this->options.most);
}

void AdaptiveLimit::EndMeasured(double latency) {
  const double used = this->in_flight;
  this->End();
  if (!(latency > 0)) {
    // Below the clock's resolution. Were it the first, the ratio below would
    // be 0/0, the limit no number, and nothing would be admitted ever again.
    return;
  }
  if (this->long_run <= 0) {
    this->long_run = latency;
    this->recent = latency;
  }
  this->recent += kRecentWeight * (latency - this->recent);
  this->long_run += kLongRunWeight * (latency - this->long_run);
  // After a long slow time the long run must come down as fast as the pool.
  this->long_run = std::min(this->long_run, 2 * this->recent);
  const double gradient =
      std::clamp(this->options.tolerance * this->long_run / this->recent,
                 kLeastGradient, 1.0);
  // An unused limit says nothing: it grows only when it is what holds back.
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
