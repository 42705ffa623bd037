#ifndef FORECAST_LEARNED_VALUE_H_
#define FORECAST_LEARNED_VALUE_H_

#include <cstdint>

#include "forecast/types/reported_value.h"

namespace acacialug::forecast {

// Learns a positive figure, such as a speed or a time, from observations.
//
// Averages logarithms, since observations are off by factors. The first
// observations have a high weight, so that about five correct a wrong prior: a
// prior that is off by a factor of 2.2 leaves an error of a tenth after them.
// One observation changes the value by a factor of two at most, and by 7 % once
// there are many: an answer that stalled for a second does not mean a slow
// pool. The value is never NaN, zero, negative or stuck, whatever is observed.
// Not thread safe.
class LearnedValue {
 public:
  // Number of observations from which on values of peers are not adopted.
  static constexpr std::uint32_t kSufficientObservations = 20;

  struct Options {
    double prior = 1;         // until the first observation; > 0
    double min_value = 1e-6;  // bounds of the value, whatever is observed
    double max_value = 1e6;
    double newest_weight = 0.05;  // of one observation, once there are many
  };

  explicit LearnedValue(const Options& value_options);

  // Adds an observation; ignored unless it is a positive number.
  void Note(double observed);

  // Adopts the value of a peer that has more observations than this process,
  // while this process has fewer than kSufficientObservations. The value counts
  // as at most kSufficientObservations observations, and later own observations
  // change it at their usual weight.
  void Adopt(const ReportedValue& reported);

  double value() const { return this->current; }
  std::uint32_t observations() const { return this->count; }
  ReportedValue Report() const {
    return {.value = this->current, .observations = this->count};
  }

 private:
  Options options;
  double current;
  std::uint32_t count = 0;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_LEARNED_VALUE_H_
