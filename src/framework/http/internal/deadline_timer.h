#ifndef FRAMEWORK_HTTP_INTERNAL_DEADLINE_TIMER_H_
#define FRAMEWORK_HTTP_INTERNAL_DEADLINE_TIMER_H_

#include <QTimer>
#include <functional>

#include "framework/global/types/instant.h"

namespace acacialug::http {

// A deadline that is moved far more often than it passes: moving it later is
// one store, and the event loop's timer is set anew only when it fires.
// Lives on one thread with a Qt event loop.
class DeadlineTimer {
 public:
  // `late`: for so long after the deadline the event loop ran no timer.
  explicit DeadlineTimer(std::function<void(Duration late)> on_expired);

  // Expires `after` from now; zero clears.
  void Set(Duration after);
  void Clear() { this->deadline = kNever; }
  Instant expires_at() const { return this->deadline; }

 private:
  void OnTimeout();
  void Arm(Instant now);

  std::function<void(Duration late)> expired;
  QTimer timer;
  Instant deadline = kNever;
  Instant armed_for = kNever;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_DEADLINE_TIMER_H_
