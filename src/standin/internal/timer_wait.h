#ifndef STANDIN_INTERNAL_TIMER_WAIT_H_
#define STANDIN_INTERNAL_TIMER_WAIT_H_

#include <algorithm>
#include <chrono>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// The time for a Qt timer to fire at `due` or just after it. The models run
// events at the instants at which they were due, so that a late timer does not
// delay later events.
inline std::chrono::milliseconds TimerWait(Instant due, Instant now) {
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(due - now),
                    std::chrono::milliseconds(0),
                    std::chrono::milliseconds(3'600'000));
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_TIMER_WAIT_H_
