#include "forecast/learned_value.h"

#include <algorithm>
#include <cmath>

namespace acacialug::forecast {
namespace {

// The most that one observation can differ from what is believed, as a factor;
// beyond it, it is an outlier that tells the direction only.
constexpr double kGreatestFactor = 4.0;
// Beyond it the newest weight decides in any case.
constexpr std::uint32_t kMostCounted = 10'000;

bool IsUsable(double number) {
  return std::isfinite(number) && number > 0;
}

}  // namespace

LearnedValue::LearnedValue(const Options& value_options)
    : options(value_options), current(value_options.prior) {}

void LearnedValue::Note(double seen) {
  if (!IsUsable(seen)) {
    return;
  }
  const double most = std::log(kGreatestFactor);
  const double difference =
      std::clamp(std::log(seen / this->current), -most, most);
  // The prior weighs as much as one observation.
  const double weight =
      std::max(this->options.newest_weight, 1.0 / (this->count + 2.0));
  this->current = std::clamp(this->current * std::exp(weight * difference),
                             this->options.least, this->options.greatest);
  this->count = std::min(this->count + 1, kMostCounted);
}

void LearnedValue::Adopt(const ReportedValue& told) {
  if (this->count >= kSure || told.observations <= this->count ||
      !IsUsable(told.value)) {
    return;
  }
  this->current =
      std::clamp(told.value, this->options.least, this->options.greatest);
  this->count = std::min(told.observations, kSure);
}

}  // namespace acacialug::forecast
