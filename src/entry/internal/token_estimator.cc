#include "entry/internal/token_estimator.h"

#include <algorithm>
#include <cmath>

#include "placement/prefix_hasher.h"

namespace acacialug::entry {
namespace {

constexpr double kWeight = 0.05;
// An engine's count outside these bounds, relative to the uncorrected estimate,
// is treated as a fault.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4.0;
// Shorter prompts consist mostly of the template, so their ratio is not
// representative.
constexpr std::uint64_t kMinPromptBytes = 64;

double UncorrectedEstimate(std::uint64_t bytes) {
  return static_cast<double>(bytes) /
         static_cast<double>(placement::kBytesPerToken);
}

}  // namespace

std::uint64_t TokenEstimator::Estimate(std::uint64_t bytes) const {
  return static_cast<std::uint64_t>(
      std::ceil(UncorrectedEstimate(bytes) * this->ratio));
}

void TokenEstimator::Learn(std::uint64_t bytes, std::uint64_t tokens) {
  if (bytes < kMinPromptBytes || tokens == 0) {
    return;
  }
  const double measured =
      std::clamp(static_cast<double>(tokens) / UncorrectedEstimate(bytes),
                 kMinRatio, kMaxRatio);
  this->ratio += kWeight * (measured - this->ratio);
}

}  // namespace acacialug::entry
