#ifndef ADMISSION_PREDICTION_MARGIN_H_
#define ADMISSION_PREDICTION_MARGIN_H_

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// How much later than predicted the first token arrives, at a high quantile of
// recent requests. The margin is added to a prediction before the comparison
// with a target: without a margin, the requests admitted are just those that
// then miss the target by a little. The quantile is tracked by stochastic
// approximation (Robbins and Monro, 1951): constant memory and time, with steps
// in proportion to the mean absolute error. Not thread safe.
class PredictionMargin {
 public:
  struct Options {
    double quantile = 0.9;
    Duration initial = 20ms;
    Duration min_step = 4ms;  // smallest correction
    Duration max_margin = 2s;
  };

  explicit PredictionMargin(Options margin_options);

  // `late`: measured minus predicted time; negative when the token was early.
  void Note(Duration late);

  Duration Margin() const { return this->margin; }

 private:
  Options options;
  Duration margin;
  double mean_error = 0;  // absolute, in seconds
};

}  // namespace acacialug::admission

#endif  // ADMISSION_PREDICTION_MARGIN_H_
