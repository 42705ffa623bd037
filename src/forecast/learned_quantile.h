#ifndef FORECAST_LEARNED_QUANTILE_H_
#define FORECAST_LEARNED_QUANTILE_H_

namespace acacialug::forecast {

// Learns a quantile of a positive figure from observations: each one moves the
// value by a small factor, up or down in the ratio of the quantile, so that a
// single observation counts the same whatever its size.
//
// H. Robbins, S. Monro, "A Stochastic Approximation Method", Annals of
// Mathematical Statistics 22 (1951). Not thread safe.
class LearnedQuantile {
 public:
  struct Options {
    double quantile = 0.9;
    double prior = 1;
    double min_value = 1;
    double max_value = 8;
    double step = 0.1;  // of the logarithm
  };

  explicit LearnedQuantile(const Options& quantile_options);

  // Adds an observation; ignored unless it is a positive number.
  void Note(double observed);

  double value() const { return this->current; }

 private:
  const Options options;
  double current;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_LEARNED_QUANTILE_H_
