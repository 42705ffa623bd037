#ifndef STANDIN_INTERNAL_PAUSABLE_CLOCK_H_
#define STANDIN_INTERNAL_PAUSABLE_CLOCK_H_

#include <algorithm>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// The time of an engine that may hang. It stops during a stall, so that events
// are delayed by the length of the stall. Not thread safe.
class PausableClock {
 public:
  void Stall(Instant until, Instant now) {
    this->ResumeIfDue(now);
    if (!this->paused) {
      this->began = now;
      this->paused = true;
    }
    this->ends = until;
  }

  // Ends a stall that was due to end by `now`, at the due time.
  void ResumeIfDue(Instant now) {
    if (this->paused && this->ends <= now) {
      this->Resume(this->ends);
    }
  }

  void Resume(Instant now) {
    if (this->paused) {
      this->lost += std::max(now - this->began, Duration::zero());
      this->paused = false;
    }
  }

  bool stalled() const { return this->paused; }

  Instant Inner(Instant now) const {
    return (this->paused ? this->began : now) - this->lost;
  }

  // The real time of an instant of this clock.
  Instant Outer(Instant inner) const {
    if (this->paused) {
      return this->ends;
    }
    return inner == kNever ? kNever : inner + this->lost;
  }

 private:
  bool paused = false;
  Instant began;
  Instant ends;
  Duration lost{};
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_PAUSABLE_CLOCK_H_
