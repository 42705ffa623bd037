#include "framework/http/internal/turn_clock.h"

#include <utility>

namespace acacialug::http {

TurnClock& TurnClock::OfThisThread() {
  thread_local TurnClock clock;
  return clock;
}

bool TurnClock::MayReadLate() {
  this->Watch();
  return MonotonicNow() - this->turn_before >= kLateRead;
}

void TurnClock::Watch() {
  // A thread's event loop may end and another one follow.
  QAbstractEventDispatcher* const current =
      QAbstractEventDispatcher::instance();
  if (current == nullptr || this->dispatcher == current) {
    return;
  }
  this->dispatcher = current;
  // Told just before a turn looks at its sockets, or at the end of the turn
  // before, by the kind of dispatcher.
  QObject::connect(
      current, &QAbstractEventDispatcher::awake, &this->receiver, [this] {
        this->turn_before = std::exchange(this->this_turn, MonotonicNow());
      });
}

}  // namespace acacialug::http
