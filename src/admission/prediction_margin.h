#ifndef ADMISSION_PREDICTION_MARGIN_H_
#define ADMISSION_PREDICTION_MARGIN_H_

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// How much later than predicted the first token comes, at a high quantile of
// recent requests. Added to a prediction before it is held against a target:
// a test without it serves just those that then miss by a little. The
// quantile is tracked by stochastic approximation (Robbins and Monro, 1951):
// constant memory and time, with steps in proportion to
// the usual error. Not thread safe.
class PredictionMargin {
 public:
  struct Options {
    double quantile = 0.9;
    Duration initial = 20ms;
    Duration step = 4ms;  // least of one correction
    Duration most = 2s;
  };

  explicit PredictionMargin(Options margin_options);

  // `late`: measured minus predicted; negative when it was early.
  void Note(Duration late);

  Duration Margin() const { return this->margin; }

 private:
  Options options;
  Duration margin;
  double usual_error = 0;  // seconds, late or early
};

}  // namespace acacialug::admission

#endif  // ADMISSION_PREDICTION_MARGIN_H_
