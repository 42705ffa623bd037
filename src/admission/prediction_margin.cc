#include "admission/prediction_margin.h"

#include <algorithm>
#include <cmath>

namespace acacialug::admission {
namespace {

constexpr double kErrorWeight = 0.1;  // of the newest error in the mean
constexpr double kStepShare = 0.25;   // of the mean error

}  // namespace

PredictionMargin::PredictionMargin(Options margin_options)
    : options(margin_options), margin(margin_options.initial) {}

void PredictionMargin::Note(Duration late) {
  // In the steady state the steps up and down balance when a share `quantile`
  // of the errors lies below the margin.
  // A step is proportional to the mean error: with a small fixed step, an entry
  // with a few requests a second would reach an error of half a second only
  // after minutes of answers that miss the target by a little.
  this->mean_error +=
      kErrorWeight * (std::abs(Seconds(late)) - this->mean_error);
  const double step =
      std::max(Seconds(this->options.min_step), kStepShare * this->mean_error);
  const double change = late > this->margin
                            ? step * this->options.quantile
                            : -step * (1.0 - this->options.quantile);
  this->margin = std::clamp(this->margin + FromSeconds(change),
                            Duration::zero(), this->options.max_margin);
}

}  // namespace acacialug::admission
