#include "forecast/learned_line.h"

#include <algorithm>
#include <cmath>

#include "forecast/learned_value.h"

namespace acacialug::forecast {
namespace {

// Factor on the weights of earlier observations, for each later one.
constexpr double kDecay = 0.97;
// Bound on an observation, relative to the expected time.
constexpr double kMaxFactor = 3.0;
// Weight of the present line that is added with each observation. It keeps the
// parts in proportion when all sizes are alike.
constexpr double kInertia = 0.05;
// Min share of a usual time that grows with the size. A slope fitted to few
// scattered points is often far too small: engines of 22 tokens per millisecond
// had roles planned as if they computed 72.
constexpr double kMinGrowingShare = 0.6;
// The prior weighs as much as one observation.
constexpr double kPriorWeight = 1.0;
// Sizes at which the line is anchored, as fractions of the mean size.
constexpr double kNear = 0.5;
constexpr double kFar = 1.5;
// Weight of the newest size in the mean size.
constexpr double kNewestSizeWeight = 0.05;
// Bounds of usable numbers: positive, and at most a day in microseconds.
constexpr double kMinValue = 1e-6;
constexpr double kMaxValue = 1e11;

bool IsUsable(double number) {
  return std::isfinite(number) && number > kMinValue && number < kMaxValue;
}

}  // namespace

void LearnedLine::Sums::Add(double of_weight, double of_size, double of_time) {
  this->weight += of_weight;
  this->size += of_weight * of_size;
  this->time += of_weight * of_time;
  this->size_squared += of_weight * of_size * of_size;
  this->size_time += of_weight * of_size * of_time;
}

void LearnedLine::Sums::Scale(double factor) {
  this->weight *= factor;
  this->size *= factor;
  this->time *= factor;
  this->size_squared *= factor;
  this->size_time *= factor;
}

LearnedLine::LearnedLine(const Options& line_options)
    : fixed(line_options.fixed),
      per_unit(line_options.per_unit),
      mean_size(line_options.typical_size) {
  this->PlaceOnLine(kPriorWeight);
}

void LearnedLine::PlaceOnLine(double weight) {
  for (const double share : {kNear, kFar}) {
    const double size = share * this->mean_size;
    this->sums.Add(weight / 2, size, this->At(size));
  }
}

void LearnedLine::Note(double size, double time) {
  if (!IsUsable(size) || !IsUsable(time)) {
    return;
  }
  const double expected = this->At(size);
  const double bounded =
      std::clamp(time, expected / kMaxFactor, expected * kMaxFactor);
  this->mean_size += kNewestSizeWeight * (size - this->mean_size);
  this->sums.Scale(kDecay);
  this->PlaceOnLine(kInertia);
  this->sums.Add(1, size, bounded);
  this->Fit();
  this->count =
      std::min(this->count + 1, LearnedValue::kSufficientObservations);
}

void LearnedLine::Fit() {
  const Sums& all = this->sums;
  const double mean_of_sizes = all.size / all.weight;
  const double mean_of_times = all.time / all.weight;
  const double variance =
      all.size_squared / all.weight - mean_of_sizes * mean_of_sizes;
  const double covariance =
      all.size_time / all.weight - mean_of_sizes * mean_of_times;
  if (!(variance > 0)) {
    return;
  }
  // The line always passes through the mean, with both parts positive.
  const double steepest = mean_of_times / mean_of_sizes;
  this->per_unit =
      std::clamp(covariance / variance, kMinGrowingShare * steepest, steepest);
  this->fixed =
      std::max(kMinValue, mean_of_times - this->per_unit * mean_of_sizes);
}

void LearnedLine::Adopt(const ReportedValue& reported_fixed,
                        const ReportedValue& reported_per_unit) {
  if (this->count >= LearnedValue::kSufficientObservations ||
      reported_per_unit.observations <= this->count ||
      !IsUsable(reported_fixed.value) || !IsUsable(reported_per_unit.value)) {
    return;
  }
  this->fixed = reported_fixed.value;
  this->per_unit = reported_per_unit.value;
  this->count = std::min(reported_per_unit.observations,
                         LearnedValue::kSufficientObservations);
  this->sums = {};
  this->PlaceOnLine(this->count);
}

}  // namespace acacialug::forecast
