#ifndef STANDIN_INTERNAL_TIMER_WAIT_H_
#define STANDIN_INTERNAL_TIMER_WAIT_H_

#include <algorithm>
#include <chrono>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// How long a Qt timer must run to fire at `due` or just after it. The models
// do what was due at its own instant, so that a late timer adds no delay to
// what follows.
inline std::chrono::milliseconds TimerWait(Instant due, Instant now) {
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(due - now),
                    std::chrono::milliseconds(0),
                    std::chrono::milliseconds(3'600'000));
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_TIMER_WAIT_H_
