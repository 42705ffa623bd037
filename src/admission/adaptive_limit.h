#ifndef ADMISSION_ADAPTIVE_LIMIT_H_
#define ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// How many requests may be in flight to a pool at once, learnt from measured
// latency (after the gradient limiter of Netflix' concurrency-limits): while
// recent latency stays near its long-run mean, the limit grows by about its
// square root; as it rises above, the limit falls by the ratio of the two.
// Not thread safe.
class AdaptiveLimit {
 public:
  struct Options {
    double initial = 64;
    double least = 4;
    double most = 4096;
    double tolerance = 2.0;  // recent may be this multiple of the long run
  };

  explicit AdaptiveLimit(Options limit_options);

  bool Admits() const { return this->in_flight < this->Limit(); }
  std::uint32_t Limit() const {
    return static_cast<std::uint32_t>(this->limit);
  }
  std::uint32_t InFlight() const { return this->in_flight; }

  void Begin() { ++this->in_flight; }
  // Ended without telling anything of the pool's speed. Precondition: one
  // Begin for each end.
  void End() { --this->in_flight; }
  // Ended after this time, in any unit that is the same for all. Zero tells
  // nothing of the pool's speed.
  void EndMeasured(double latency);
  // The pool refused or timed out: falls at once.
  void EndOverloaded();

 private:
  void SetLimit(double newest);

  Options options;
  double limit;
  double recent = 0;
  double long_run = 0;
  std::uint32_t in_flight = 0;
};

}  // namespace acacialug::admission

#endif  // ADMISSION_ADAPTIVE_LIMIT_H_
