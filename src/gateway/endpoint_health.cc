#include "gateway/endpoint_health.h"

#include <algorithm>

#include "gateway/load_table.h"

namespace acacialug::gateway {
namespace {

constexpr std::uint32_t kMaxDoublings = 8;
// Bounds of a speed ratio. A single slow answer must not mark an endpoint as
// slow for long, and a single quick one must not mark it as very fast.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 8.0;

// A pause that doubles with each of the `times` consecutive earlier pauses.
Duration PauseAfter(Duration first, std::uint32_t times) {
  const std::uint32_t doublings = std::min(times, kMaxDoublings);
  return std::min(EndpointHealth::kMaxPause,
                  first * (std::int64_t{1} << doublings));
}

}  // namespace

EndpointHealth::State& EndpointHealth::Touch(const EndpointId& endpoint,
                                             Instant now) {
  State& state = this->states[endpoint];
  state.seen_at = now;
  return state;
}

void EndpointHealth::NoteAnswer(const EndpointId& endpoint, Instant now) {
  State& state = this->Touch(endpoint, now);
  state.answered_at = now;
  state.unreachable_until = Instant{};
}

void EndpointHealth::Forget(const EndpointId& endpoint) {
  this->states.erase(endpoint);
  this->pauses.erase(LoadTable::KeyOf(endpoint));
  this->reported_unreachable.erase(LoadTable::KeyOf(endpoint));
}

void EndpointHealth::Sweep(Instant now) {
  std::erase_if(this->states, [now](const auto& entry) {
    return entry.second.seen_at + kMemory < now &&
           entry.second.rest_until <= now;
  });
  const auto expired = [now](const auto& entry) { return entry.second < now; };
  std::erase_if(this->pauses, expired);
  std::erase_if(this->reported_unreachable, expired);
}

void EndpointHealth::NoteSuccess(const EndpointId& endpoint, Instant now) {
  this->NoteAnswer(endpoint, now);
  State& state = this->states[endpoint];
  state.failure_share *= 1 - kOutcomeWeight;
  state.timeouts = 0;
  state.avoided_until = Instant{};
}

void EndpointHealth::NoteFailure(const EndpointId& endpoint, Instant now) {
  State& state = this->Touch(endpoint, now);
  state.failure_share += (1 - state.failure_share) * kOutcomeWeight;
  state.timeouts = 0;
  if (state.failure_share > kMaxFailureShare) {
    state.avoided_until = std::max(state.avoided_until, now + kFirstPause);
  }
}

void EndpointHealth::NoteTimeout(const EndpointId& endpoint, Instant now) {
  State& state = this->Touch(endpoint, now);
  const Duration pause = PauseAfter(kFirstPause, state.timeouts);
  ++state.timeouts;
  state.failure_share += (1 - state.failure_share) * kOutcomeWeight;
  state.avoided_until = std::max(state.avoided_until, now + pause);
}

void EndpointHealth::NoteUnreachable(const EndpointId& endpoint, Instant now) {
  this->NoteTimeout(endpoint, now);
  State& state = this->states[endpoint];
  state.unreachable_until = state.avoided_until;
}

void EndpointHealth::NoteLost(const EndpointId& endpoint,
                              bool sent,
                              Instant now) {
  if (sent) {
    this->NoteTimeout(endpoint, now);
  } else {
    this->NoteUnreachable(endpoint, now);
  }
}

bool EndpointHealth::NoteReportedUnreachable(std::uint64_t endpoint_key,
                                             Duration left,
                                             Instant now) {
  Instant& until = this->reported_unreachable[endpoint_key];
  const bool newly = until <= now;
  until = std::max(until, now + std::min(left, kReportedPause));
  return newly;
}

std::vector<EndpointPause> EndpointHealth::Unreachable(Instant now) const {
  std::vector<EndpointPause> pauses;
  for (const auto& [endpoint, state] : this->states) {
    if (now < state.unreachable_until) {
      pauses.push_back({.endpoint_key = LoadTable::KeyOf(endpoint),
                        .left = state.unreachable_until - now,
                        .reason = PauseReason::kUnreachable});
    }
  }
  return pauses;
}

void EndpointHealth::NoteFull(const EndpointId& endpoint, Instant now) {
  State& state = this->Touch(endpoint, now);
  state.timeouts = 0;
  state.full_until = now + kFullPause;
}

void EndpointHealth::NoteUnexpectedRefusal(const EndpointId& endpoint,
                                           Duration oldest_report_age,
                                           Instant now) {
  State& state = this->Touch(endpoint, now);
  if (state.refusals > 0 && now - state.refused_at < oldest_report_age) {
    state.full_until = std::max(state.full_until, now + kFullPause);
    return;
  }
  state.refused_at = now;
  state.full_until = now + PauseAfter(kFullPause, state.refusals);
  if (++state.refusals >= kConfirmedRefusals) {
    state.unreachable_until = state.full_until;
  }
}

void EndpointHealth::NoteCapacity(const EndpointId& endpoint) {
  const auto found = this->states.find(endpoint);
  if (found != this->states.end()) {
    found->second.refusals = 0;
    found->second.full_until = Instant{};
  }
}

void EndpointHealth::NoteBrokenReservation(const EndpointId& endpoint,
                                           Instant now) {
  State& state = this->Touch(endpoint, now);
  if (++state.broken_reservations >= kMaxBrokenReservations) {
    this->NoteTimeout(endpoint, now);
  } else {
    this->NoteFull(endpoint, now);
  }
}

void EndpointHealth::NoteStarted(const EndpointId& endpoint) {
  const auto found = this->states.find(endpoint);
  if (found != this->states.end()) {
    found->second.broken_reservations = 0;
  }
}

void EndpointHealth::NoteRest(const EndpointId& endpoint,
                              Duration rest,
                              Instant now) {
  State& state = this->Touch(endpoint, now);
  state.rest_until = std::max(state.rest_until, now + rest);
}

bool EndpointHealth::Resting(const EndpointId& endpoint, Instant now) const {
  const auto found = this->states.find(endpoint);
  return found != this->states.end() && now < found->second.rest_until;
}

bool EndpointHealth::Full(const EndpointId& endpoint, Instant now) const {
  const auto found = this->states.find(endpoint);
  return found != this->states.end() && now < found->second.full_until;
}

void EndpointHealth::NoteSpeed(const EndpointId& endpoint, double ratio) {
  State& state = this->states[endpoint];
  const double bounded = std::clamp(ratio, kMinRatio, kMaxRatio);
  state.slowness += (bounded - state.slowness) * kSpeedWeight;
}

void EndpointHealth::NotePause(std::uint64_t endpoint_key, Instant until) {
  this->pauses[endpoint_key] = until;
}

bool EndpointHealth::Paused(const EndpointId& endpoint, Instant now) const {
  if (this->pauses.empty()) {
    return false;
  }
  const auto found = this->pauses.find(LoadTable::KeyOf(endpoint));
  return found != this->pauses.end() && now < found->second;
}

bool EndpointHealth::Avoided(const EndpointId& endpoint, Instant now) const {
  const auto found = this->states.find(endpoint);
  if (found != this->states.end()) {
    if (now < found->second.avoided_until) {
      return true;
    }
    if (found->second.answered_at + kRecentAnswer > now) {
      return false;
    }
  }
  if (this->reported_unreachable.empty()) {
    return false;
  }
  const auto reported =
      this->reported_unreachable.find(LoadTable::KeyOf(endpoint));
  return reported != this->reported_unreachable.end() && now < reported->second;
}

double EndpointHealth::FailureShare(const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end() ? 0 : found->second.failure_share;
}

double EndpointHealth::Slowness(const EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end() ? 1 : found->second.slowness;
}

}  // namespace acacialug::gateway
