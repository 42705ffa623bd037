#include "gateway/internal/timer_queue.h"

#include <algorithm>
#include <vector>

namespace acacialug::gateway {

TimerId TimerQueue::Set(Instant at, std::function<void()> call) {
  return this->Add(at, {.call = std::move(call)});
}

TimerId TimerQueue::SetResponseTimer(Instant now,
                                     Duration timeout,
                                     std::function<void()> call) {
  return this->Add(now + timeout,
                   {.call = std::move(call), .waiting_since = now});
}

TimerId TimerQueue::Add(Instant at, Timer timer) {
  const TimerId id = ++this->last;
  this->timers.emplace(std::pair(at, id), std::move(timer));
  this->times.emplace(id, at);
  if (this->timers.begin()->first.second == id && this->earlier_hook) {
    this->earlier_hook(at);
  }
  return id;
}

void TimerQueue::Cancel(TimerId timer) {
  const auto found = this->times.find(timer);
  if (found != this->times.end()) {
    this->timers.erase({found->second, timer});
    this->times.erase(found);
  }
}

Duration TimerQueue::FireDue(Instant now) {
  const bool late = this->Late(now);
  const Instant since =
      this->fired_at == Instant{} ? this->next() : this->fired_at;
  const Duration stall = late ? now - since : Duration::zero();
  this->fired_at = now;
  if (late) {
    this->resumed_at = now;
    this->ShiftResponseTimers(stall, now);
  }
  // Defers only once in a row: a process that is late at every call still has
  // to end the requests that have passed their deadlines.
  this->deferred = late && !this->deferred;
  if (this->deferred) {
    return stall;
  }
  while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
    const auto due = this->timers.begin();
    const std::function<void()> call = std::move(due->second.call);
    this->times.erase(due->first.second);
    this->timers.erase(due);
    call();
  }
  return Duration::zero();
}

// Each read of the sockets counts as kStallThreshold of waiting time, and no
// response timer is postponed by more than the time since it was set: a timer
// that was set after the stall keeps its time.
void TimerQueue::ShiftResponseTimers(Duration stall, Instant now) {
  std::vector<std::pair<Instant, TimerId>> response_timers;
  for (const auto& [key, timer] : this->timers) {
    if (timer.waiting_since) {
      response_timers.push_back(key);
    }
  }
  for (const auto& [at, id] : response_timers) {
    auto moved = this->timers.extract({at, id});
    const Duration lasted = now - *moved.mapped().waiting_since;
    const Instant later =
        at +
        std::max(Duration::zero(), std::min(stall, lasted) - kStallThreshold);
    moved.key().first = later;
    this->timers.insert(std::move(moved));
    this->times[id] = later;
  }
}

bool TimerQueue::StalledBetween(Instant since, Instant now) const {
  return since < this->resumed_at || this->Late(now);
}

bool TimerQueue::Late(Instant now) const {
  // After a call that fired nothing, the next call is due at once.
  return !this->timers.empty() &&
         now - (this->deferred ? this->fired_at : this->next()) >
             kStallThreshold;
}

Instant TimerQueue::next() const {
  return this->timers.empty() ? kNever : this->timers.begin()->first.first;
}

}  // namespace acacialug::gateway
