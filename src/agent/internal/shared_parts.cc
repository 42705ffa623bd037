#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

void SharedParts::Refuse(const AttemptId& attempt,
                         protocol::Phase phase,
                         ResultCode code,
                         Duration retry_after,
                         Instant now) {
  ++this->counters.refused;
  this->Reply(attempt,
              protocol::Refused{.attempt = attempt,
                                .phase = phase,
                                .code = code,
                                .retry_after = retry_after},
              now);
  this->attempts.CloseNotRun(attempt, code, now);
}

void SharedParts::Fail(const AttemptId& attempt,
                       protocol::Phase phase,
                       ResultCode code,
                       protocol::Outcome outcome,
                       Instant now) {
  this->Reply(
      attempt,
      protocol::Failed{
          .attempt = attempt, .phase = phase, .code = code, .outcome = outcome},
      now);
  this->attempts.CloseEnded(attempt, now);
}

void SharedParts::Abort(const AttemptId& attempt, Instant now) {
  this->outbox.Execute(engine::Abort{attempt});
  this->audit.NoteReleased(attempt, now);
}

}  // namespace acacialug::agent
