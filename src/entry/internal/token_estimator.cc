#include "entry/internal/token_estimator.h"

#include <algorithm>
#include <cmath>

#include "placement/prefix_hasher.h"

namespace acacialug::entry {
namespace {

constexpr double kWeight = 0.05;
// An engine's count outside these bounds is taken for a fault.
constexpr double kLeastRatio = 0.25;
constexpr double kMostRatio = 4.0;
// Short prompts are mostly template and say little.
constexpr std::uint64_t kLeastBytes = 64;

double PlainGuess(std::uint64_t bytes) {
  return static_cast<double>(bytes) /
         static_cast<double>(placement::kBytesPerToken);
}

}  // namespace

std::uint64_t TokenEstimator::Estimate(std::uint64_t bytes) const {
  return static_cast<std::uint64_t>(std::ceil(PlainGuess(bytes) * this->ratio));
}

void TokenEstimator::Learn(std::uint64_t bytes, std::uint64_t tokens) {
  if (bytes < kLeastBytes || tokens == 0) {
    return;
  }
  const double measured = std::clamp(
      static_cast<double>(tokens) / PlainGuess(bytes), kLeastRatio, kMostRatio);
  this->ratio += kWeight * (measured - this->ratio);
}

}  // namespace acacialug::entry
