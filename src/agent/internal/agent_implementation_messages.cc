#include <optional>

#include "agent/internal/agent_implementation.h"

namespace acacialug::agent {

using protocol::EndpointRole;
using protocol::Phase;

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::Hello& hello,
                                   Instant now) {
  const SessionTable::Greeting greeting =
      this->sessions.Greet(session, hello, now);
  for (const SessionId ended : greeting.ended) {
    this->outbox.Close(ended, ResultCode::kSuperseded);
    this->FreeSession(ended, now);
  }
  if (greeting.code != ResultCode::kOk) {
    this->EndSession(session, greeting.code, now);
    return;
  }
  this->NoteManifestOffset(hello.manifest);
  this->outbox.Send(
      session,
      protocol::Welcome{.endpoint = this->options.endpoint,
                        .incarnation = this->options.incarnation,
                        .role = this->options.role,
                        .domain = this->options.domain,
                        .manifest = this->ManifestOffset(),
                        .lease = this->sessions.LeaseFor(hello.interval),
                        .session = static_cast<std::uint32_t>(session.value),
                        .heartbeat_port = this->heartbeat_port},
      now);
  if (this->drain.active()) {
    this->SendLeaving(session, now);
  }
}

void AgentCore::Implementation::NoteManifestOffset(LogOffset manifest) {
  if (manifest > this->ManifestOffset()) {
    this->newest_reported_manifest = manifest;
  }
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::Renew& renew,
                                   Instant now) {
  if (!this->sessions.Renew(session, renew, now)) {
    this->EndSession(session, ResultCode::kBadFrame, now);
    return;
  }
  this->NoteManifestOffset(renew.manifest);
  this->outbox.Send(
      session,
      protocol::Renewed{.manifest = this->ManifestOffset(),
                        .lease = this->sessions.LeaseFor(renew.interval)},
      now);
}

std::optional<protocol::HeartbeatAnswer> AgentCore::Implementation::OnHeartbeat(
    const protocol::Heartbeat& heartbeat,
    Instant now) {
  // Expires first: this process may have been paused, and a heartbeat that
  // waited in its socket must not renew a session that has lapsed meanwhile.
  this->Expire(now);
  std::optional<protocol::HeartbeatAnswer> answer =
      this->sessions.RenewListed(heartbeat, now);
  if (!answer) {
    ++this->counters.heartbeats_dropped;
    return answer;
  }
  ++this->counters.heartbeats;
  this->NoteManifestOffset(heartbeat.manifest);
  const protocol::EndpointLoad load = this->Load(now);
  answer->agent = this->options.incarnation;
  answer->manifest = this->ManifestOffset();
  answer->leaving = load.leaving;
  this->sessions.processes().ReportLoad(heartbeat, load, *answer);
  return answer;
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::Reserve& reserve,
                                   Instant now) {
  const AttemptId& attempt = reserve.attempt;
  const std::optional<Admission> admission = this->attempt_admission.Admit(
      session, attempt, EndpointRole::kDecode, Phase::kReserve, now);
  if (admission == Admission::kOpen ||
      (admission == Admission::kNew &&
       this->attempt_admission.TakesNew(attempt, Phase::kReserve, now))) {
    this->decode.OnReserve(reserve, now);
  }
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::StartPrefill& start,
                                   Instant now) {
  const AttemptId& attempt = start.attempt;
  if (this->attempt_admission.AdmitOnce(
          session, attempt, EndpointRole::kPrefill, Phase::kPrefill, now) &&
      this->attempt_admission.TakesNew(attempt, Phase::kPrefill, now)) {
    this->prefill.OnStartPrefill(start, now);
  }
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::StartDecode& start,
                                   Instant now) {
  const AttemptId& attempt = start.attempt;
  const std::optional<Admission> admission = this->attempt_admission.Admit(
      session, attempt, EndpointRole::kDecode, Phase::kDecode, now);
  // An attempt with a reservation was admitted before a drain began.
  if (!admission ||
      (admission == Admission::kNew &&
       !this->attempt_admission.TakesNew(attempt, Phase::kDecode, now))) {
    return;
  }
  // Without the reservation it is unknown whether the engine has free capacity:
  // it would preempt other streams, or let the prefill's export expire.
  const bool may_reserve =
      this->options.reservation == ReservationPolicy::kNone ||
      !this->options.rules.reserve_before_prefill;
  this->decode.OnStartDecode(start, may_reserve, now);
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::Acknowledge& acknowledge,
                                   Instant now) {
  if (this->attempt_admission.IsOwn(session, acknowledge.attempt)) {
    this->decode.OnAcknowledge(acknowledge, now);
  }
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::StartCall& start,
                                   Instant now) {
  const AttemptId& attempt = start.attempt;
  if (!this->attempt_admission.AdmitOnce(session, attempt, EndpointRole::kPlain,
                                         Phase::kCall, now) ||
      !this->attempt_admission.IsReady(attempt, Phase::kCall, now)) {
    return;
  }
  // While draining, a resubmission still gets the outcome of the call.
  this->calls.OnStartCall(start, !this->drain.active(), now);
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::LookUp& look_up,
                                   Instant now) {
  this->calls.OnLookUp(session, look_up, now);
}

void AgentCore::Implementation::On(SessionId session,
                                   const protocol::Cancel& cancel,
                                   Instant now) {
  if (this->attempt_admission.IsOwn(session, cancel.attempt)) {
    this->attempt_admission.Cancel(session, cancel.attempt, now);
  }
}

}  // namespace acacialug::agent
