#include "forecast/learned_line.h"

#include <algorithm>
#include <cmath>

#include "forecast/learned_value.h"

namespace acacialug::forecast {
namespace {

constexpr double kForget = 0.97;         // with each observation
constexpr double kGreatestFactor = 3.0;  // of what is expected
// Weight of the present line beside each observation: what holds the parts
// together when all sizes are alike.
constexpr double kInertia = 0.05;
// At least this share of a usual time grows with the size. A slope of few
// scattered points is often far too small: roles were planned for engines of 72
// tokens a millisecond that read 22.
constexpr double kLeastGrowing = 0.6;
// The prior weighs as much as one observation.
constexpr double kPriorWeight = 1.0;
// The line is held at these shares of the mean size.
constexpr double kNear = 0.5;
constexpr double kFar = 1.5;
constexpr double kNewestSize = 0.05;
// Parts are positive, and no larger than a day in microseconds.
constexpr double kLeast = 1e-6;
constexpr double kGreatest = 1e11;

bool IsUsable(double number) {
  return std::isfinite(number) && number > kLeast && number < kGreatest;
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
      each(line_options.each),
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
      std::clamp(time, expected / kGreatestFactor, expected * kGreatestFactor);
  this->mean_size += kNewestSize * (size - this->mean_size);
  this->sums.Scale(kForget);
  this->PlaceOnLine(kInertia);
  this->sums.Add(1, size, bounded);
  this->Fit();
  this->count = std::min(this->count + 1, LearnedValue::kSure);
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
  // Through the mean in any case, with both parts positive.
  const double steepest = mean_of_times / mean_of_sizes;
  this->each =
      std::clamp(covariance / variance, kLeastGrowing * steepest, steepest);
  this->fixed = std::max(kLeast, mean_of_times - this->each * mean_of_sizes);
}

void LearnedLine::Adopt(const ReportedValue& told_fixed,
                        const ReportedValue& told_each) {
  if (this->count >= LearnedValue::kSure ||
      told_each.observations <= this->count || !IsUsable(told_fixed.value) ||
      !IsUsable(told_each.value)) {
    return;
  }
  this->fixed = told_fixed.value;
  this->each = told_each.value;
  this->count = std::min(told_each.observations, LearnedValue::kSure);
  this->sums = {};
  this->PlaceOnLine(this->count);
}

}  // namespace acacialug::forecast
