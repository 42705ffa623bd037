#ifndef FORECAST_LEARNED_VALUE_H_
#define FORECAST_LEARNED_VALUE_H_

#include <cstdint>

#include "forecast/types/reported_value.h"

namespace acacialug::forecast {

// A positive figure that is learned from observations: a speed, a time.
//
// Averages logarithms, since observations are off by factors. The first ones
// weigh much, so that a wrong prior is gone after some five of them: one off by
// 2.2 leaves an error of a tenth then. One observation moves the value by a
// factor of two at most, and by 7 % once there are many: an answer that stalled
// for a second is not a slow pool. Never NaN, zero, negative or stuck, whatever
// is observed. Not thread safe.
class LearnedValue {
 public:
  // Observations after which a peer's word is no longer taken for one's own.
  static constexpr std::uint32_t kSure = 20;

  struct Options {
    double prior = 1;     // until something is seen; > 0
    double least = 1e-6;  // the range that is believed, whatever is seen
    double greatest = 1e6;
    double newest_weight = 0.05;  // of one observation, once there are many
  };

  explicit LearnedValue(const Options& value_options);

  // Takes an observation; one that is not a positive number is passed over.
  void Note(double seen);

  // Takes what a peer has learned, while it has learned more than this process
  // and this process is not sure. It counts as no more than kSure observations,
  // and yields to own ones at their usual weight.
  void Adopt(const ReportedValue& told);

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
