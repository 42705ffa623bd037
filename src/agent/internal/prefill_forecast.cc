#include "agent/internal/prefill_forecast.h"

#include <algorithm>
#include <cmath>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

constexpr double kRateWeight = 0.1;
constexpr double kInitialSeconds = 0.1;  // the weight of the first rate
constexpr double kLateQuantile = 0.9;

}  // namespace

PrefillForecast::PrefillForecast(double initial_tokens_per_second)
    : smoothed_tokens(std::max(1.0, initial_tokens_per_second) *
                      kInitialSeconds),
      smoothed_seconds(kInitialSeconds) {}

void PrefillForecast::OnDispatched(const AttemptId& attempt,
                                   double work,
                                   Instant now) {
  this->running[attempt] = {.work = work, .since = now};
  this->busy_until = std::max(this->busy_until, now) + this->TimeFor(work);
}

void PrefillForecast::OnFinished(const AttemptId& attempt,
                                 double work,
                                 Instant now) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  // The engine shares its compute among the prefills that it runs. The time
  // since the previous prefill ended is the share that this one's work took.
  // Tokens and seconds are smoothed separately, so that two prefills that end
  // together do not show an infinite rate.
  const Instant began = std::max(found->second.since, this->last_finish);
  this->smoothed_tokens += kRateWeight * (work - this->smoothed_tokens);
  this->smoothed_seconds +=
      kRateWeight * (Seconds(now - began) - this->smoothed_seconds);
  this->last_finish = now;
  this->OnDropped(attempt, now);
}

void PrefillForecast::OnDropped(const AttemptId& attempt, Instant now) {
  if (this->running.erase(attempt) != 0) {
    this->busy_until =
        std::min(this->busy_until, now + this->TimeFor(this->RunningWork()));
  }
}

void PrefillForecast::OnError(Duration late, Instant now) {
  this->errors[this->error_count % kErrors] = std::max(late, Duration::zero());
  ++this->error_count;
  const std::size_t count = std::min(this->error_count, kErrors);
  std::array<Duration, kErrors> sorted = this->errors;
  const auto rank = static_cast<std::ptrdiff_t>(kLateQuantile *
                                                static_cast<double>(count - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + static_cast<std::ptrdiff_t>(count));
  this->learnt_margin = sorted[static_cast<std::size_t>(rank)];
  this->learnt_at = now;
}

Duration PrefillForecast::TimeFor(double work) const {
  return BoundedSeconds(work / this->tokens_per_second());
}

Duration PrefillForecast::Remaining(Instant now) const {
  return this->running.empty() ? Duration::zero()
                               : Until(this->busy_until, now);
}

Duration PrefillForecast::margin(Instant now) const {
  const double half_lives =
      Seconds(now - this->learnt_at) / Seconds(kMarginHalfLife);
  return BoundedSeconds(Seconds(this->learnt_margin) * std::exp2(-half_lives));
}

double PrefillForecast::tokens_per_second() const {
  // The bounds of one token and one microsecond keep the rate from being zero
  // or infinite.
  return std::max(1.0, this->smoothed_tokens) /
         std::max(1e-6, this->smoothed_seconds);
}

double PrefillForecast::RunningWork() const {
  double work = 0;
  for (const auto& [attempt, prefill] : this->running) {
    work += prefill.work;  // at most as many as the engine has slots
  }
  return work;
}

}  // namespace acacialug::agent
