#ifndef ADMISSION_ADAPTIVE_LIMIT_H_
#define ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "framework/global/types/instant.h"

namespace acacialug::admission {

// Limits the requests in flight to a pool by measured latency (after the
// gradient limiter of Netflix' concurrency-limits): while recent latency stays
// near the long-run mean, the limit grows by about its own square root; when
// recent latency rises above the mean, the limit falls by the ratio of the two.
// Not thread safe.
class AdaptiveLimit {
 public:
  struct Options {
    double initial = 64;
    double min_limit = 4;
    double max_limit = 4096;
    // Multiple of the long-run latency that recent latency may reach before the
    // limit falls.
    double tolerance = 2.0;
  };

  explicit AdaptiveLimit(Options limit_options);

  bool Admits() const { return this->in_flight < this->Limit(); }
  std::uint32_t Limit() const {
    return static_cast<std::uint32_t>(this->limit);
  }
  std::uint32_t InFlight() const { return this->in_flight; }

  void Begin() { ++this->in_flight; }
  // A request ended without a usable latency. Precondition: one Begin for each
  // end.
  void End() { --this->in_flight; }
  // A request ended after `latency`, in any unit that is the same for all. Zero
  // isn't a usable latency and leaves the limit as it is.
  void EndMeasured(double latency);
  // The pool refused a request or timed out: the limit falls at once.
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
