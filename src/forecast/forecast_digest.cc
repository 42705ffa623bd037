#include "forecast/types/forecast_digest.h"

namespace acacialug::forecast {

bool Differ(const ForecastDigest& newer,
            const ForecastDigest& older,
            double factor) {
  for (std::size_t at = 0; at < kFigures; ++at) {
    // Scatters by itself, and is a small part of a prompt's time.
    if (static_cast<Figure>(at) == Figure::kPrefillFixedMs) {
      continue;
    }
    const double now = newer[at].value;
    const double then = older[at].value;
    const bool learned = newer[at].observations > 0;
    if (learned && (older[at].observations == 0 || now > then * factor ||
                    now * factor < then)) {
      return true;
    }
  }
  return false;
}

}  // namespace acacialug::forecast
