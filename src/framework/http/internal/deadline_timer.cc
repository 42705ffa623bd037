#include "framework/http/internal/deadline_timer.h"

#include <utility>

namespace acacialug::http {

DeadlineTimer::DeadlineTimer(std::function<void(Duration late)> on_expired)
    : expired(std::move(on_expired)) {
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::CoarseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, &this->timer,
                   [this] { this->OnTimeout(); });
}

void DeadlineTimer::Set(Duration after) {
  if (after <= Duration::zero()) {
    this->Clear();
    return;
  }
  const Instant now = MonotonicNow();
  this->deadline = now + after;
  if (!this->timer.isActive() || this->armed_for > this->deadline) {
    this->Arm(now);
  }
}

void DeadlineTimer::Arm(Instant now) {
  this->armed_for = this->deadline;
  // Rounded up, so that it does not fire just before the deadline.
  this->timer.start(
      std::chrono::ceil<std::chrono::milliseconds>(this->deadline - now));
}

void DeadlineTimer::OnTimeout() {
  if (this->deadline == kNever) {
    return;
  }
  const Instant now = MonotonicNow();
  if (now < this->deadline) {
    this->Arm(now);
    return;
  }
  const Duration late = now - this->deadline;
  this->Clear();
  this->expired(late);
}

}  // namespace acacialug::http
