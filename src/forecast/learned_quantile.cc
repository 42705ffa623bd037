#include "forecast/learned_quantile.h"

#include <algorithm>
#include <cmath>

namespace acacialug::forecast {

LearnedQuantile::LearnedQuantile(const Options& quantile_options)
    : options(quantile_options), current(quantile_options.prior) {}

void LearnedQuantile::Note(double observed) {
  if (!std::isfinite(observed) || observed <= 0) {
    return;
  }
  const double steps = observed > this->current ? this->options.quantile
                                                : this->options.quantile - 1;
  this->current =
      std::clamp(this->current * std::exp(this->options.step * steps),
                 this->options.min_value, this->options.max_value);
}

}  // namespace acacialug::forecast
