#ifndef GATEWAY_INTERNAL_TIMER_QUEUE_H_
#define GATEWAY_INTERNAL_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

using TimerId = std::uint64_t;

// Calls that are due at a time, for an owner that has one timer for all. Not
// thread safe.
//
// Knows when the process itself stood still, by a look at it that comes late. A
// gateway that stood still for two seconds and rang first and read later
// stopped streams that their endpoints had long ended whole.
class TimerQueue {
 public:
  // A look that comes so long after an alarm was due tells of a standstill, of
  // which so much counts as silence: a process that is late at each look still
  // judges, after as many looks as the silence has times this. The shortest
  // silence that anybody is judged by is 250 ms.
  static constexpr Duration kStallThreshold = 100ms;

  // `on_earlier` hears of each call that is due before all others.
  explicit TimerQueue(std::function<void(Instant)> on_earlier)
      : earlier_hook(std::move(on_earlier)) {}

  // Due at its time, whoever stood still: a deadline.
  TimerId Set(Instant at, std::function<void()> call);
  // Judges somebody who is not heard for `timeout` from `now` on. A standstill
  // of this process moves it, since nobody could be heard.
  TimerId SetResponseTimer(Instant now,
                           Duration timeout,
                           std::function<void()> call);
  // Unknown ids (0, or one that has rung) are ignored.
  void Cancel(TimerId timer);

  // Rings all that are due, also those that are set meanwhile and are due.
  //
  // After a standstill it rings nothing, moves the silences that began before
  // its end, and returns its length (an upper bound: since the last ring). The
  // owner reads what arrived meanwhile, and calls again: the second call rings.
  Duration FireDue(Instant now);

  // Whether this process stood still at a time between the two: what is
  // measured from one to the other tells of this process.
  bool StalledBetween(Instant since, Instant now) const;

  // kNever: nothing is set.
  Instant next() const;

 private:
  struct Timer {
    std::function<void()> call;
    std::optional<Instant> waiting_since;  // empty: a deadline
  };

  TimerId Add(Instant at, Timer timer);
  bool Late(Instant now) const;
  void ShiftResponseTimers(Duration stall, Instant now);

  const std::function<void(Instant)> earlier_hook;
  std::map<std::pair<Instant, TimerId>, Timer> timers;
  std::map<TimerId, Instant> times;
  TimerId last = 0;
  Instant fired_at{};
  Instant resumed_at{};   // from the last standstill
  bool deferred = false;  // the last ring rang nothing
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_TIMER_QUEUE_H_
