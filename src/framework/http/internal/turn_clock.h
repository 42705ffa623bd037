#ifndef FRAMEWORK_HTTP_INTERNAL_TURN_CLOCK_H_
#define FRAMEWORK_HTTP_INTERNAL_TURN_CLOCK_H_

#include <QAbstractEventDispatcher>
#include <QObject>
#include <QPointer>

#include "framework/global/types/instant.h"

namespace acacialug::http {

// From this age on what lay unread was read late: far below the half second
// from which a caller notices, and far above a turn of a loop that keeps up.
inline constexpr Duration kLateRead = 100ms;

// When the turns of a thread's Qt event loop began, each with a look at its
// sockets. What is read in a turn has come since the look before it: if that
// was shortly ago, nothing can have lain unread for long, and nobody needs to
// ask the operating system. It costs one look at the clock a turn.
//
// One a thread; use it on that thread only.
class TurnClock {
 public:
  // Precondition: the thread has, or will have, a Qt event loop.
  static TurnClock& OfThisThread();

  TurnClock(const TurnClock&) = delete;
  TurnClock& operator=(const TurnClock&) = delete;

  // False: what is read in this turn came less than kLateRead ago, if its
  // socket was watched in the turn before. True tells only that it may have
  // come sooner: the loop was busy, stopped, or had nothing to do.
  bool MayReadLate();

 private:
  TurnClock() = default;

  void Watch();

  Instant this_turn{};
  Instant turn_before{};
  QPointer<QAbstractEventDispatcher> dispatcher;
  QObject receiver;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_TURN_CLOCK_H_
