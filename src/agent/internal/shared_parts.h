#ifndef AGENT_INTERNAL_SHARED_PARTS_H_
#define AGENT_INTERNAL_SHARED_PARTS_H_

#include <functional>

#include "agent/internal/attempt_table.h"
#include "agent/internal/engine_audit.h"
#include "agent/internal/outbox.h"
#include "agent/types/agent_counters.h"
#include "agent/types/agent_options.h"
#include "agent/types/held_attempt.h"

namespace acacialug::agent {

using HoldingVisitor =
    std::function<void(const AttemptId& attempt, HeldKind kind)>;

// The state that the parts of an AgentCore share; all of it outlives them. The
// methods are the ways in which an attempt ends: each keeps the attempt table,
// the audit and the entry consistent. Not thread safe.
struct SharedParts {
  const AgentOptions& options;
  Outbox& outbox;
  AttemptTable& attempts;
  EngineAudit& audit;
  AgentCounters& counters;

  // Sends to the session that waits for the attempt, if there is one.
  template <typename Message>
  void Reply(const AttemptId& attempt, Message message, Instant now) {
    const std::optional<SessionId> session = this->attempts.SessionOf(attempt);
    if (session) {
      this->outbox.Send(*session, std::move(message), now);
    }
  }

  // Nothing of the attempt ran. Precondition: this is provable.
  void Refuse(const AttemptId& attempt,
              protocol::Phase phase,
              ResultCode code,
              Duration retry_after,
              Instant now);

  // The attempt failed here.
  void Fail(const AttemptId& attempt,
            protocol::Phase phase,
            ResultCode code,
            protocol::Outcome outcome,
            Instant now);

  void Abort(const AttemptId& attempt, Instant now);
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_SHARED_PARTS_H_
