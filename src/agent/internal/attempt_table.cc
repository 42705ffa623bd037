#include "agent/internal/attempt_table.h"

#include <algorithm>

namespace acacialug::agent {

AttemptTable::Opening AttemptTable::Open(const AttemptId& attempt,
                                         SessionId session,
                                         Instant now) {
  const auto [found, first] =
      this->seen.try_emplace(attempt.request, Seen{.highest = attempt.attempt});
  Seen& request = found->second;
  if (first || !this->options.check) {
    this->Bind(attempt, session, now);
    return {.admission = Admission::kNew};
  }
  if (attempt.attempt < request.highest) {
    const bool ran = std::find(request.ran.begin(), request.ran.end(),
                               attempt.attempt) != request.ran.end();
    return {.admission =
                ran ? Admission::kEndedBefore : Admission::kSuperseded};
  }
  if (attempt.attempt == request.highest) {
    switch (request.state) {
      case State::kNotRun:
        return {.admission = Admission::kRefusedBefore, .code = request.code};
      case State::kEnded:
        return {.admission = Admission::kEndedBefore};
      case State::kOpen:
        this->Bind(attempt, session, now);
        return {.admission = Admission::kOpen};
    }
  }
  Opening opening{.admission = Admission::kNew};
  if (request.state == State::kOpen) {
    opening.replaced = AttemptId{.request = attempt.request,
                                 .attempt = request.highest,
                                 .entry = attempt.entry};
  }
  if (request.state != State::kNotRun) {
    request.ran.push_back(request.highest);
    if (request.ran.size() > kMaxRan) {
      request.ran.erase(request.ran.begin());
    }
  }
  request.highest = attempt.attempt;
  request.state = State::kOpen;
  this->Bind(attempt, session, now);
  return opening;
}

void AttemptTable::CloseNotRun(const AttemptId& attempt,
                               ResultCode code,
                               Instant now) {
  this->Close(attempt, State::kNotRun, code, now);
}

void AttemptTable::CloseEnded(const AttemptId& attempt, Instant now) {
  this->Close(attempt, State::kEnded, ResultCode::kOk, now);
}

std::optional<SessionId> AttemptTable::SessionOf(
    const AttemptId& attempt) const {
  const auto found = this->owners.find(attempt);
  if (found == this->owners.end()) {
    return std::nullopt;
  }
  return found->second.session;
}

std::optional<Instant> AttemptTable::OpenSince(const AttemptId& attempt) const {
  const auto found = this->owners.find(attempt);
  if (found == this->owners.end()) {
    return std::nullopt;
  }
  return found->second.since;
}

std::vector<AttemptId> AttemptTable::OpenOf(SessionId session) const {
  const auto found = this->by_session.find(session);
  if (found == this->by_session.end()) {
    return {};
  }
  std::vector<AttemptId> attempts(found->second.begin(), found->second.end());
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

void AttemptTable::Expire(Instant now) {
  while (!this->closed.empty() &&
         this->closed.front().first + this->options.memory <= now) {
    this->ForgetOldest();
  }
}

void AttemptTable::Bind(const AttemptId& attempt,
                        SessionId session,
                        Instant now) {
  const Instant since = this->OpenSince(attempt).value_or(now);
  this->Unbind(attempt);
  this->owners[attempt] = {.session = session, .since = since};
  this->by_session[session].insert(attempt);
}

void AttemptTable::Unbind(const AttemptId& attempt) {
  const auto owner = this->owners.find(attempt);
  if (owner == this->owners.end()) {
    return;
  }
  const auto session = this->by_session.find(owner->second.session);
  session->second.erase(attempt);
  if (session->second.empty()) {
    this->by_session.erase(session);
  }
  this->owners.erase(owner);
}

void AttemptTable::Close(const AttemptId& attempt,
                         State state,
                         ResultCode code,
                         Instant now) {
  this->Unbind(attempt);
  const auto found = this->seen.find(attempt.request);
  if (found == this->seen.end() || found->second.highest != attempt.attempt ||
      found->second.state != State::kOpen) {
    return;
  }
  found->second.state = state;
  found->second.code = code;
  found->second.closed_at = now;
  this->closed.emplace_back(now, attempt.request);
  if (this->closed.size() > this->options.max_remembered) {
    this->ForgetOldest();
  }
}

void AttemptTable::ForgetOldest() {
  const auto [closed_at, request] = this->closed.front();
  this->closed.pop_front();
  const auto found = this->seen.find(request);
  if (found != this->seen.end() && found->second.state != State::kOpen &&
      found->second.closed_at == closed_at) {
    this->seen.erase(found);
  }
}

}  // namespace acacialug::agent
