#ifndef GATEWAY_INTERNAL_ALARM_CLOCK_H_
#define GATEWAY_INTERNAL_ALARM_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

using AlarmId = std::uint64_t;

// Calls that are due at a time, for an owner that has one timer for all. Not
// thread safe.
class AlarmClock {
 public:
  // `on_sooner` hears of each call that is due before all others.
  explicit AlarmClock(std::function<void(Instant)> on_sooner)
      : sooner(std::move(on_sooner)) {}

  AlarmId Set(Instant at, std::function<void()> call);
  // Unknown ids (0, or one that has rung) are ignored.
  void Cancel(AlarmId alarm);

  // Rings all that are due, also those that are set meanwhile and are due.
  void Ring(Instant now);

  // kNever: nothing is set.
  Instant next() const;

 private:
  const std::function<void(Instant)> sooner;
  std::map<std::pair<Instant, AlarmId>, std::function<void()>> calls;
  std::map<AlarmId, Instant> times;
  AlarmId last = 0;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_ALARM_CLOCK_H_
