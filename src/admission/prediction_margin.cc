#include "admission/prediction_margin.h"

#include <algorithm>
#include <cmath>

namespace acacialug::admission {
namespace {

constexpr double kErrorWeight = 0.1;  // of the newest in the usual error
constexpr double kStepShare = 0.25;   // of the usual error

}  // namespace

PredictionMargin::PredictionMargin(Options margin_options)
    : options(margin_options), margin(margin_options.initial) {}

void PredictionMargin::Note(Duration late) {
  // At rest the steps up and down balance when a share `quantile` of the
  // errors lies below the margin.
  // A step is a part of the usual error, whatever its size: with a fixed small
  // one an entry of a few requests a second would learn an error of half a
  // second only after minutes of answers that miss by a little.
  this->usual_error +=
      kErrorWeight * (std::abs(Seconds(late)) - this->usual_error);
  const double step =
      std::max(Seconds(this->options.step), kStepShare * this->usual_error);
  const double change = late > this->margin
                            ? step * this->options.quantile
                            : -step * (1.0 - this->options.quantile);
  this->margin = std::clamp(this->margin + FromSeconds(change),
                            Duration::zero(), this->options.most);
}

}  // namespace acacialug::admission
