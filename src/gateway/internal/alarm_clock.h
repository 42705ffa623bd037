#ifndef GATEWAY_INTERNAL_ALARM_CLOCK_H_
#define GATEWAY_INTERNAL_ALARM_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

using AlarmId = std::uint64_t;

// Calls that are due at a time, for an owner that has one timer for all. Not
// thread safe.
//
// Knows when the process itself stood still, by a look at it that comes late. A
// gateway that stood still for two seconds and rang first and read later
// stopped streams that their endpoints had long ended whole.
class AlarmClock {
 public:
  // A look that comes so long after an alarm was due tells of a standstill, of
  // which so much counts as silence: a process that is late at each look still
  // judges, after as many looks as the silence has times this. The shortest
  // silence that anybody is judged by is 250 ms.
  static constexpr Duration kLate = 100ms;

  // `on_sooner` hears of each call that is due before all others.
  explicit AlarmClock(std::function<void(Instant)> on_sooner)
      : sooner(std::move(on_sooner)) {}

  // Due at its time, whoever stood still: a deadline.
  AlarmId Set(Instant at, std::function<void()> call);
  // Judges somebody who is not heard for `patience` from `now` on. A standstill
  // of this process moves it, since nobody could be heard.
  AlarmId SetSilence(Instant now,
                     Duration patience,
                     std::function<void()> call);
  // Unknown ids (0, or one that has rung) are ignored.
  void Cancel(AlarmId alarm);

  // Rings all that are due, also those that are set meanwhile and are due.
  //
  // After a standstill it rings nothing, moves the silences that began before
  // its end, and returns its length (an upper bound: since the last ring). The
  // owner reads what arrived meanwhile, and calls again: the second call rings.
  Duration Ring(Instant now);

  // Whether this process stood still at a time between the two: what is
  // measured from one to the other tells of this process.
  bool StoodStill(Instant since, Instant now) const;

  // kNever: nothing is set.
  Instant next() const;

 private:
  struct Alarm {
    std::function<void()> call;
    std::optional<Instant> silent_since;  // empty: a deadline
  };

  AlarmId Add(Instant at, Alarm alarm);
  bool Late(Instant now) const;
  void MoveSilences(Duration stood, Instant now);

  const std::function<void(Instant)> sooner;
  std::map<std::pair<Instant, AlarmId>, Alarm> alarms;
  std::map<AlarmId, Instant> times;
  AlarmId last = 0;
  Instant rung_at{};
  Instant woke_at{};      // from the last standstill
  bool deferred = false;  // the last ring rang nothing
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_ALARM_CLOCK_H_
