#ifndef AGENT_INTERNAL_BOUNDED_TIME_H_
#define AGENT_INTERNAL_BOUNDED_TIME_H_

#include <algorithm>

#include "framework/global/types/instant.h"

namespace acacialug::agent {

// A peer may send any 64-bit duration. Added to `now` unchecked it overflows,
// and a deadline in the far future becomes one in the distant past; so every
// duration from outside is clamped to this bound before it is added.
inline constexpr Duration kMaxWait = 30 * 24h;

inline Instant After(Instant now, Duration wait) {
  return now + std::clamp(wait, Duration::zero(), kMaxWait);
}

// Precondition: `seconds` is a number.
inline Duration BoundedSeconds(double seconds) {
  return FromSeconds(std::clamp(seconds, 0.0, Seconds(kMaxWait)));
}

// The time from `now` to `instant`; zero when `instant` is not later than
// `now`.
inline Duration Until(Instant instant, Instant now) {
  return instant <= now ? Duration::zero()
                        : std::min<Duration>(instant - now, kMaxWait);
}

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_BOUNDED_TIME_H_
