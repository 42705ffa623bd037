#ifndef AGENT_INTERNAL_ATTEMPT_ADMISSION_H_
#define AGENT_INTERNAL_ATTEMPT_ADMISSION_H_

#include <functional>
#include <optional>

#include "agent/internal/drain_state.h"
#include "agent/internal/engine_orders.h"
#include "agent/internal/session_table.h"
#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

// Checks every message that starts something before its part of the agent
// receives it: whether the attempt is the session's own, is the newest, came
// before, and whether the endpoint takes such work now. A message that it
// rejects is already answered or counted. Not thread safe.
class AttemptAdmission {
 public:
  // Frees what an attempt holds, since a newer attempt of its request has
  // arrived.
  using ReleaseHook = std::function<void(const AttemptId&, Instant)>;

  AttemptAdmission(SharedParts& shared_parts,
                   const SessionTable& session_table,
                   const DrainState& drain_state,
                   const EngineOrders& engine_orders,
                   ReleaseHook release_hook);

  // Whether the session may name the attempt at all.
  bool IsOwn(SessionId session, const AttemptId& attempt);

  // kNew or kOpen; empty when the message was answered or dropped. `role` is
  // the role that the endpoint needs for the phase.
  std::optional<Admission> Admit(SessionId session,
                                 const AttemptId& attempt,
                                 protocol::EndpointRole role,
                                 protocol::Phase phase,
                                 Instant now);

  // For phases that a single message starts: false for a repetition.
  bool AdmitOnce(SessionId session,
                 const AttemptId& attempt,
                 protocol::EndpointRole role,
                 protocol::Phase phase,
                 Instant now);

  // Handles a cancel: leaves the attempt closed, whether it was known or not.
  // Precondition: IsOwn().
  void Cancel(SessionId session, const AttemptId& attempt, Instant now);

  // The engine was cleared of a predecessor's work. Refuses if not.
  // Precondition of this and the next method: the attempt was admitted as kNew.
  bool IsReady(const AttemptId& attempt, protocol::Phase phase, Instant now);
  // IsReady(), the endpoint is not leaving, and its engine has the model.
  bool TakesNew(const AttemptId& attempt, protocol::Phase phase, Instant now);

 private:
  AttemptTable::Opening Open(SessionId session,
                             const AttemptId& attempt,
                             Instant now);
  void RefuseUnadmitted(SessionId session,
                        const AttemptId& attempt,
                        protocol::Phase phase,
                        ResultCode code,
                        Instant now);

  SharedParts& parts;
  const SessionTable& sessions;
  const DrainState& drain;
  const EngineOrders& orders;
  ReleaseHook release;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ATTEMPT_ADMISSION_H_
