#ifndef STANDIN_INTERNAL_PAUSABLE_CLOCK_H_
#define STANDIN_INTERNAL_PAUSABLE_CLOCK_H_

#include <algorithm>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// The time of an engine that may hang: it stands still during a stall, and
// whatever was due then is due later by the stall's length. Not thread safe.
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

  // Ends a stall at the instant at which it was to end, if that is by `now`.
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

  // When an inner instant comes to pass.
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
