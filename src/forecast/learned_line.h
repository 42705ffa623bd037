#ifndef FORECAST_LEARNED_LINE_H_
#define FORECAST_LEARNED_LINE_H_

#include <cstdint>

#include "forecast/types/reported_value.h"

namespace acacialug::forecast {

// Learns a time that grows with the size of the work, time = fixed + per_unit *
// size. Both parts are a weighted least-squares fit in which the weight of an
// observation halves with every 23 that follow.
//
// With one ratio in place of two parts, a short prompt looks like a slow
// engine, and an engine of 18 tokens per millisecond like one of 12.
//
// Sizes that are all alike do not determine the parts: both scale together
// then. An observation above three times the expected time, or below a third of
// the expected time, counts as that bound. Both parts stay positive numbers,
// whatever is observed. Not thread safe.
class LearnedLine {
 public:
  struct Options {
    double fixed = 1;  // priors, both > 0
    double per_unit = 1;
    double typical_size = 1;  // around which the priors are placed; > 0
  };

  explicit LearnedLine(const Options& line_options);

  // Adds an observation; ignored unless both are positive numbers.
  void Note(double size, double time);

  // Adopts what a peer has learned, under the rules of LearnedValue::Adopt.
  void Adopt(const ReportedValue& reported_fixed,
             const ReportedValue& reported_per_unit);

  double At(double size) const { return this->fixed + this->per_unit * size; }
  double fixed_part() const { return this->fixed; }
  double per_unit_part() const { return this->per_unit; }
  std::uint32_t observations() const { return this->count; }

 private:
  // Sums of weights, sizes, times and their products.
  struct Sums {
    double weight = 0;
    double size = 0;
    double time = 0;
    double size_squared = 0;
    double size_time = 0;

    void Add(double of_weight, double of_size, double of_time);
    void Scale(double factor);
  };

  void PlaceOnLine(double weight);
  void Fit();

  Sums sums;
  double fixed;
  double per_unit;
  double mean_size;
  std::uint32_t count = 0;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_LEARNED_LINE_H_
