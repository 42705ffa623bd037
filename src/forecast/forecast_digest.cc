#include "forecast/types/forecast_digest.h"

namespace acacialug::forecast {

bool Differ(const ForecastDigest& newer,
            const ForecastDigest& older,
            double factor) {
  for (std::size_t index = 0; index < kFigures; ++index) {
    // This figure scatters without any change of the engine, and is a small
    // part of a prompt's time.
    if (static_cast<Figure>(index) == Figure::kPrefillFixedMs) {
      continue;
    }
    const double newer_value = newer[index].value;
    const double older_value = older[index].value;
    const bool learned = newer[index].observations > 0;
    if (learned &&
        (older[index].observations == 0 || newer_value > older_value * factor ||
         newer_value * factor < older_value)) {
      return true;
    }
  }
  return false;
}

}  // namespace acacialug::forecast
