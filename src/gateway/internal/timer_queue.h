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

// Calls that are due at given times, for an owner that has a single timer for
// all of them. Not thread safe.
//
// Detects a stall of the process itself by a FireDue call that comes late. A
// gateway that stalled for two seconds, and fired timers before it read what
// had arrived, would stop streams that their endpoints had completed long
// before.
class TimerQueue {
 public:
  // A FireDue call that comes later than this after a timer was due indicates a
  // process stall, and only this part of the stall counts towards response
  // timeouts. A process that is late at each call thus still times out a peer
  // or an endpoint, after timeout / kStallThreshold calls. The shortest
  // response timeout in use is 250 ms.
  static constexpr Duration kStallThreshold = 100ms;

  // `on_earlier` runs for each added timer that is due before all others.
  explicit TimerQueue(std::function<void(Instant)> on_earlier)
      : earlier_hook(std::move(on_earlier)) {}

  // Sets a deadline, which a process stall does not postpone.
  TimerId Set(Instant at, std::function<void()> call);
  // Fires when a peer or an endpoint has sent nothing for `timeout` from `now`
  // on; the owner cancels the timer on an answer. A stall of this process
  // postpones it, since nothing could be received meanwhile.
  TimerId SetResponseTimer(Instant now,
                           Duration timeout,
                           std::function<void()> call);
  // Ignores unknown ids (0, or the id of a timer that has fired).
  void Cancel(TimerId timer);

  // Fires all timers that are due, including those that are set meanwhile and
  // are due.
  //
  // After a stall it fires nothing, postpones the response timers that were set
  // before the end of the stall, and returns the length of the stall (an upper
  // bound: the time since the last call). The owner reads what arrived
  // meanwhile and calls again; the second call fires the timers.
  Duration FireDue(Instant now);

  // Whether this process stalled at some time between the two: a duration that
  // is measured from `since` to `now` then includes a delay of this process.
  bool StalledBetween(Instant since, Instant now) const;

  // kNever when no timer is set.
  Instant next() const;

 private:
  struct Timer {
    std::function<void()> call;
    std::optional<Instant> waiting_since;  // empty for a deadline
  };

  TimerId Add(Instant at, Timer timer);
  bool Late(Instant now) const;
  void ShiftResponseTimers(Duration stall, Instant now);

  const std::function<void(Instant)> earlier_hook;
  std::map<std::pair<Instant, TimerId>, Timer> timers;
  std::map<TimerId, Instant> times;
  TimerId last = 0;
  Instant fired_at{};
  Instant resumed_at{};   // end of the last stall
  bool deferred = false;  // the last FireDue fired nothing
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_TIMER_QUEUE_H_
