#include "agent/internal/token_pace.h"

#include <algorithm>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

constexpr double kIntervalWeight = 0.05;
constexpr double kShareWeight = 0.1;

}  // namespace

TokenPace::TokenPace(Duration initial_interval)
    : interval_seconds(Seconds(initial_interval)) {}

void TokenPace::OnTokens(Duration elapsed, std::uint32_t tokens) {
  if (tokens == 0) {
    return;
  }
  const double sample = Seconds(elapsed) / tokens;
  this->interval_seconds += kIntervalWeight * (sample - this->interval_seconds);
}

void TokenPace::OnFinished(std::uint32_t produced, std::uint32_t requested) {
  if (requested == 0) {
    return;
  }
  const double sample =
      std::min(1.0, static_cast<double>(produced) / requested);
  this->used_share += kShareWeight * (sample - this->used_share);
}

Duration TokenPace::interval() const {
  return BoundedSeconds(this->interval_seconds);
}

Duration TokenPace::Remaining(std::uint32_t produced,
                              std::uint32_t requested) const {
  const double expected = this->used_share * requested;
  return BoundedSeconds(std::max(1.0, expected - produced) *
                        this->interval_seconds);
}

}  // namespace acacialug::agent
