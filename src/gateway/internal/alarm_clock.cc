#include "gateway/internal/alarm_clock.h"

namespace acacialug::gateway {

AlarmId AlarmClock::Set(Instant at, std::function<void()> call) {
  const AlarmId id = ++this->last;
  this->calls.emplace(std::pair(at, id), std::move(call));
  this->times.emplace(id, at);
  if (this->calls.begin()->first.second == id && this->sooner) {
    this->sooner(at);
  }
  return id;
}

void AlarmClock::Cancel(AlarmId alarm) {
  const auto found = this->times.find(alarm);
  if (found != this->times.end()) {
    this->calls.erase({found->second, alarm});
    this->times.erase(found);
  }
}

void AlarmClock::Ring(Instant now) {
  while (!this->calls.empty() && this->calls.begin()->first.first <= now) {
    const auto due = this->calls.begin();
    const std::function<void()> call = std::move(due->second);
    this->times.erase(due->first.second);
    this->calls.erase(due);
    call();
  }
}

Instant AlarmClock::next() const {
  return this->calls.empty() ? kNever : this->calls.begin()->first.first;
}

}  // namespace acacialug::gateway
