#ifndef FRAMEWORK_GLOBAL_TYPES_INSTANT_H_
#define FRAMEWORK_GLOBAL_TYPES_INSTANT_H_

#include <time.h>

#include <chrono>

namespace acacialug {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

using Duration = std::chrono::microseconds;

// The time base of every aggregate: microseconds on the monotonic clock of
// the process that holds the value (virtual in tests). An Instant is never
// sent to another host, since no two hosts' clocks are compared; a Duration
// is sent instead. Aggregates get `now` as a parameter and never ask a clock.
struct MonotonicTimeBase {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeBase, Duration>;
  static constexpr bool is_steady = true;
};
using Instant = MonotonicTimeBase::time_point;

inline constexpr Instant kNever = Instant::max();

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// The process's monotonic clock, for the outermost layer only (event loops
// and mains). It counts the time for which the host was suspended: a steady
// clock that stands still meanwhile would make a lease, or a caller's deadline,
// look seconds younger than it is to everybody else. Thread safe.
inline Instant MonotonicNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_TYPES_INSTANT_H_
