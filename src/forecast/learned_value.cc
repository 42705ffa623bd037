#include "forecast/learned_value.h"

#include <algorithm>
#include <cmath>

namespace acacialug::forecast {
namespace {

// Max factor between an observation and the present value. An observation
// beyond it is an outlier that shows the direction only.
constexpr double kMaxFactor = 4.0;
// Beyond this count the newest weight applies in any case.
constexpr std::uint32_t kMaxCount = 10'000;

bool IsUsable(double number) {
  return std::isfinite(number) && number > 0;
}

}  // namespace

LearnedValue::LearnedValue(const Options& value_options)
    : options(value_options), current(value_options.prior) {}

void LearnedValue::Note(double observed) {
  if (!IsUsable(observed)) {
    return;
  }
  const double max_difference = std::log(kMaxFactor);
  const double difference = std::clamp(std::log(observed / this->current),
                                       -max_difference, max_difference);
  // The prior weighs as much as one observation.
  const double weight =
      std::max(this->options.newest_weight, 1.0 / (this->count + 2.0));
  this->current = std::clamp(this->current * std::exp(weight * difference),
                             this->options.min_value, this->options.max_value);
  this->count = std::min(this->count + 1, kMaxCount);
}

void LearnedValue::Adopt(const ReportedValue& reported) {
  if (this->count >= kSufficientObservations ||
      reported.observations <= this->count || !IsUsable(reported.value)) {
    return;
  }
  this->current = std::clamp(reported.value, this->options.min_value,
                             this->options.max_value);
  this->count = std::min(reported.observations, kSufficientObservations);
}

}  // namespace acacialug::forecast
