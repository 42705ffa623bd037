#include "agent/internal/attempt_admission.h"

#include <utility>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {

using protocol::Phase;

AttemptAdmission::AttemptAdmission(SharedParts& shared_parts,
                                   const SessionTable& session_table,
                                   const DrainState& drain_state,
                                   const EngineOrders& engine_orders,
                                   ReleaseHook release_hook)
    : parts(shared_parts),
      sessions(session_table),
      drain(drain_state),
      orders(engine_orders),
      release(std::move(release_hook)) {}

bool AttemptAdmission::IsOwn(SessionId session, const AttemptId& attempt) {
  const bool own = !this->parts.options.rules.check_attempts ||
                   this->sessions.IncarnationOf(session) == attempt.entry;
  this->parts.counters.dropped_messages += own ? 0 : 1;
  return own;
}

std::optional<Admission> AttemptAdmission::Admit(SessionId session,
                                                 const AttemptId& attempt,
                                                 protocol::EndpointRole role,
                                                 Phase phase,
                                                 Instant now) {
  if (!this->IsOwn(session, attempt)) {
    this->RefuseUnadmitted(session, attempt, phase, ResultCode::kSuperseded,
                           now);
    return std::nullopt;
  }
  if (role != this->parts.options.role) {
    this->RefuseUnadmitted(session, attempt, phase, ResultCode::kWrongRole,
                           now);
    return std::nullopt;
  }
  const AttemptTable::Opening opening = this->Open(session, attempt, now);
  switch (opening.admission) {
    case Admission::kNew:
    case Admission::kOpen:
      return opening.admission;
    case Admission::kSuperseded:
      this->RefuseUnadmitted(session, attempt, phase, ResultCode::kSuperseded,
                             now);
      return std::nullopt;
    case Admission::kRefusedBefore:
      this->RefuseUnadmitted(session, attempt, phase, opening.code, now);
      return std::nullopt;
    case Admission::kEndedBefore:
      break;
  }
  ++this->parts.counters.dropped_messages;
  return std::nullopt;
}

bool AttemptAdmission::AdmitOnce(SessionId session,
                                 const AttemptId& attempt,
                                 protocol::EndpointRole role,
                                 Phase phase,
                                 Instant now) {
  const std::optional<Admission> admission =
      this->Admit(session, attempt, role, phase, now);
  if (admission == Admission::kOpen) {
    ++this->parts.counters.dropped_messages;
  }
  return admission == Admission::kNew;
}

void AttemptAdmission::Cancel(SessionId session,
                              const AttemptId& attempt,
                              Instant now) {
  const AttemptTable::Opening opening = this->Open(session, attempt, now);
  if (opening.admission == Admission::kNew) {
    // The cancel has overtaken its start, or repeats a cancel that was done
    // before.
    this->parts.attempts.CloseNotRun(attempt, ResultCode::kSuperseded, now);
  }
  this->release(attempt, now);
}

bool AttemptAdmission::IsReady(const AttemptId& attempt,
                               Phase phase,
                               Instant now) {
  if (!this->parts.audit.ready()) {
    this->parts.Refuse(attempt, phase, ResultCode::kNotReady,
                       Until(this->parts.audit.next_timer(), now), now);
    return false;
  }
  return true;
}

bool AttemptAdmission::TakesNew(const AttemptId& attempt,
                                Phase phase,
                                Instant now) {
  if (!this->IsReady(attempt, phase, now)) {
    return false;
  }
  if (this->drain.active()) {
    this->parts.Refuse(attempt, phase, ResultCode::kDraining, {}, now);
    return false;
  }
  if (!this->orders.fit()) {
    this->parts.Refuse(attempt, phase, ResultCode::kNotReady,
                       Until(this->orders.next_timer(), now), now);
    return false;
  }
  return true;
}

AttemptTable::Opening AttemptAdmission::Open(SessionId session,
                                             const AttemptId& attempt,
                                             Instant now) {
  const AttemptTable::Opening opening =
      this->parts.attempts.Open(attempt, session, now);
  if (opening.replaced) {
    this->release(*opening.replaced, now);
  }
  return opening;
}

void AttemptAdmission::RefuseUnadmitted(SessionId session,
                                        const AttemptId& attempt,
                                        Phase phase,
                                        ResultCode code,
                                        Instant now) {
  // The attempt table stays unchanged, since its record of the attempt is more
  // accurate.
  ++this->parts.counters.refused;
  this->parts.outbox.Send(
      session,
      protocol::Refused{.attempt = attempt, .phase = phase, .code = code}, now);
}

}  // namespace acacialug::agent
