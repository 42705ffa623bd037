#include "gateway/internal/alarm_clock.h"

#include <algorithm>
#include <vector>

namespace acacialug::gateway {

AlarmId AlarmClock::Set(Instant at,
                        std::function<void()> call,
                        AlarmKind kind) {
  const AlarmId id = ++this->last;
  this->alarms.emplace(std::pair(at, id),
                       Alarm{.call = std::move(call), .kind = kind});
  this->times.emplace(id, at);
  if (this->alarms.begin()->first.second == id && this->sooner) {
    this->sooner(at);
  }
  return id;
}

void AlarmClock::Cancel(AlarmId alarm) {
  const auto found = this->times.find(alarm);
  if (found != this->times.end()) {
    this->alarms.erase({found->second, alarm});
    this->times.erase(found);
  }
}

Duration AlarmClock::Ring(Instant now) {
  const bool late = this->Late(now);
  const Instant since =
      this->rung_at == Instant{} ? this->next() : this->rung_at;
  const Duration stood = late ? now - since : Duration::zero();
  this->rung_at = now;
  this->MoveSilences(stood - kLate);
  // Once in a row: a process that is late again and again still has to end what
  // has passed its deadline.
  this->deferred = late && !this->deferred;
  if (this->deferred) {
    return stood;
  }
  while (!this->alarms.empty() && this->alarms.begin()->first.first <= now) {
    const auto due = this->alarms.begin();
    const std::function<void()> call = std::move(due->second.call);
    this->times.erase(due->first.second);
    this->alarms.erase(due);
    call();
  }
  return Duration::zero();
}

void AlarmClock::MoveSilences(Duration by) {
  if (by <= Duration::zero()) {
    return;
  }
  std::vector<std::pair<Instant, AlarmId>> silences;
  for (const auto& [key, alarm] : this->alarms) {
    if (alarm.kind == AlarmKind::kSilence) {
      silences.push_back(key);
    }
  }
  for (const auto& [at, id] : silences) {
    auto moved = this->alarms.extract({at, id});
    moved.key().first = at + by;
    this->alarms.insert(std::move(moved));
    this->times[id] = at + by;
  }
}

bool AlarmClock::Late(Instant now) const {
  // Where it rang nothing it was to be called again at once.
  return !this->alarms.empty() &&
         now - (this->deferred ? this->rung_at : this->next()) > kLate;
}

Instant AlarmClock::next() const {
  return this->alarms.empty() ? kNever : this->alarms.begin()->first.first;
}

}  // namespace acacialug::gateway
