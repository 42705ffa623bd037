#include "admission/prediction_margin.h"

#include <algorithm>

namespace acacialug::admission {

PredictionMargin::PredictionMargin(Options margin_options)
    : options(margin_options), margin(margin_options.initial) {}

void PredictionMargin::Note(Duration late) {
  // At rest the steps up and down balance when a share `quantile` of the
  // errors lies below the margin.
  const double step = Seconds(this->options.step);
  const double change = late > this->margin
                            ? step * this->options.quantile
                            : -step * (1.0 - this->options.quantile);
  this->margin = std::clamp(this->margin + FromSeconds(change),
                            Duration::zero(), this->options.most);
}

}  // namespace acacialug::admission
