#include "gateway/internal/alarm_clock.h"

#include <algorithm>
#include <vector>

namespace acacialug::gateway {

AlarmId AlarmClock::Set(Instant at, std::function<void()> call) {
  return this->Add(at, {.call = std::move(call)});
}

AlarmId AlarmClock::SetSilence(Instant now,
                               Duration patience,
                               std::function<void()> call) {
  return this->Add(now + patience,
                   {.call = std::move(call), .silent_since = now});
}

AlarmId AlarmClock::Add(Instant at, Alarm alarm) {
  const AlarmId id = ++this->last;
  this->alarms.emplace(std::pair(at, id), std::move(alarm));
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
  if (late) {
    this->woke_at = now;
    this->MoveSilences(stood, now);
  }
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

// Each look at the sockets counts as kLate of listening, and no silence moves
// by more than it has lasted: one that began behind the standstill stays.
void AlarmClock::MoveSilences(Duration stood, Instant now) {
  std::vector<std::pair<Instant, AlarmId>> silences;
  for (const auto& [key, alarm] : this->alarms) {
    if (alarm.silent_since) {
      silences.push_back(key);
    }
  }
  for (const auto& [at, id] : silences) {
    auto moved = this->alarms.extract({at, id});
    const Duration lasted = now - *moved.mapped().silent_since;
    const Instant later =
        at + std::max(Duration::zero(), std::min(stood, lasted) - kLate);
    moved.key().first = later;
    this->alarms.insert(std::move(moved));
    this->times[id] = later;
  }
}

bool AlarmClock::StoodStill(Instant since, Instant now) const {
  return since < this->woke_at || this->Late(now);
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
