#ifndef FORECAST_LEARNED_LINE_H_
#define FORECAST_LEARNED_LINE_H_

#include <cstdint>

#include "forecast/types/reported_value.h"

namespace acacialug::forecast {

// A time that grows with the size of the work, time = fixed + each * size, both
// parts learned from observations: a weighted least-squares fit in which an
// observation's weight halves with each 23 that follow.
//
// With one ratio in place of two parts a short prompt reads as a slow engine,
// and an engine of 18 tokens a millisecond as one of 12.
//
// Sizes that are all alike tell nothing of the parts: then both scale together.
// An observation of more than three times, or under a third of, what is
// expected counts as just that. Both parts stay positive numbers, whatever is
// observed. Not thread safe.
class LearnedLine {
 public:
  struct Options {
    double fixed = 1;  // priors, both > 0
    double each = 1;
    double typical_size = 1;  // where the priors are placed; > 0
  };

  explicit LearnedLine(const Options& line_options);

  // Passed over unless both are positive numbers.
  void Note(double size, double time);

  // What a peer has learned, as LearnedValue::Adopt.
  void Adopt(const ReportedValue& told_fixed, const ReportedValue& told_each);

  double At(double size) const { return this->fixed + this->each * size; }
  double fixed_part() const { return this->fixed; }
  double each_part() const { return this->each; }
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
  double each;
  double mean_size;
  std::uint32_t count = 0;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_LEARNED_LINE_H_
