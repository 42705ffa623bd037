#ifndef FRAMEWORK_GLOBAL_RANDOM_SOURCE_H_
#define FRAMEWORK_GLOBAL_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

#include "framework/global/types/identifiers.h"

namespace acacialug {

// The random numbers of one shard or test. Aggregates get a reference and
// never make one, so that a seed repeats a run. Not thread safe: one a thread.
class RandomSource {
 public:
  // The same seed gives the same numbers.
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  // A source seeded from the operating system, for the mains.
  static RandomSource FromSystem();

  std::uint64_t Next() { return this->engine(); }

  // Uniform in [0, bound). Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound);

  // Uniform in [0, 1).
  double Unit();

  // Exponential with the given mean (unit: the mean's). Precondition: mean > 0.
  double Exponential(double mean);

  RequestId NextRequestId();
  Incarnation NextIncarnation();

 private:
  std::mt19937_64 engine;
};

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_RANDOM_SOURCE_H_
