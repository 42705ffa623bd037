#include "standin/internal/delay_line.h"

#include <utility>

#include "standin/internal/timer_wait.h"

namespace acacialug::standin {

DelayLine::DelayLine(Duration one_way_delay) : delay(one_way_delay) {
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  this->timer.callOnTimeout([this] { this->RunDue(); });
}

void DelayLine::Run(std::function<void()> task) {
  if (this->delay == Duration::zero()) {
    task();
    return;
  }
  this->waiting.push_back(
      {.due = MonotonicNow() + this->delay, .task = std::move(task)});
  this->Arm();
}

void DelayLine::RunDue() {
  while (!this->waiting.empty() &&
         this->waiting.front().due <= MonotonicNow()) {
    const std::function<void()> task = std::move(this->waiting.front().task);
    this->waiting.pop_front();
    task();
  }
  this->Arm();
}

void DelayLine::Arm() {
  if (!this->waiting.empty() && !this->timer.isActive()) {
    this->timer.start(TimerWait(this->waiting.front().due, MonotonicNow()));
  }
}

}  // namespace acacialug::standin
