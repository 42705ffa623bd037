#ifndef AGENT_INTERNAL_AGENT_IMPLEMENTATION_H_
#define AGENT_INTERNAL_AGENT_IMPLEMENTATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "agent/agent_core.h"
#include "agent/internal/attempt_admission.h"
#include "agent/internal/call_work.h"
#include "agent/internal/decode_work.h"
#include "agent/internal/drain_state.h"
#include "agent/internal/engine_audit.h"
#include "agent/internal/engine_orders.h"
#include "agent/internal/maintenance_permission.h"
#include "agent/internal/outbox.h"
#include "agent/internal/prefill_work.h"
#include "agent/internal/session_table.h"
#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

// Composes the parts of an agent and passes each input to the part that handles
// it. Before any input, everything that has ended by `now` is expired: this
// process may have been paused past the end of a lease that it still counts as
// valid. The methods are those of AgentCore.
class AgentCore::Implementation {
 public:
  Implementation(AgentOptions agent_options, RandomSource& random_source);

  void Start(Instant now);
  void OnSessionOpened(SessionId session, Instant now);
  void OnMessage(SessionId session,
                 const protocol::EntryToAgent& message,
                 Instant now);
  void OnSessionClosed(SessionId session, Instant now);
  void AcceptHeartbeats(std::uint16_t port) { this->heartbeat_port = port; }
  std::optional<protocol::HeartbeatAnswer> OnHeartbeat(
      const protocol::Heartbeat& heartbeat,
      Instant now);
  bool WithinHeartbeatBudget() const { return this->sessions.WithinBudget(); }
  void OnEngineEvent(const engine::EngineEvent& event, Instant now);
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);
  void OnMaintenanceRead(const Result<cluster::ILog::Read>& read, Instant now);
  void OnMaintenanceAppended(const Result<LogOffset>& appended, Instant now);
  void BeginDrain(Instant now);
  void Expire(Instant now);

  bool Drained() const;
  Instant NextTimer() const;
  protocol::EndpointLoad Load(Instant now) const;
  std::vector<AttemptId> HeldAttempts() const;
  std::vector<HeldAttempt> Holdings(Instant now) const;
  std::vector<AgentAction> TakeActions() { return this->outbox.Take(); }
  const AgentCounters& Counters() const { return this->counters; }
  OrderStatus Orders() const;
  LogOffset NewestReportedManifest() const {
    return this->newest_reported_manifest;
  }
  bool HasNoSessions() const { return this->sessions.empty(); }

 private:
  void On(SessionId session, const protocol::Hello& hello, Instant now);
  void On(SessionId session, const protocol::Renew& renew, Instant now);
  void On(SessionId session, const protocol::Reserve& reserve, Instant now);
  void On(SessionId session, const protocol::StartPrefill& start, Instant now);
  void On(SessionId session, const protocol::StartDecode& start, Instant now);
  void On(SessionId session,
          const protocol::Acknowledge& acknowledge,
          Instant now);
  void On(SessionId session, const protocol::StartCall& start, Instant now);
  void On(SessionId session, const protocol::LookUp& look_up, Instant now);
  void On(SessionId session, const protocol::Cancel& cancel, Instant now);

  void On(const engine::PrefillDone& done, Instant now);
  void On(const engine::Text& text, Instant now);
  void On(const engine::StreamDone& done, Instant now);
  void On(const engine::CallDone& done, Instant now);
  void On(const engine::AttemptFailed& failed, Instant now);
  void On(const engine::Held& held, Instant now);
  void On(const engine::ListFailed& failed, Instant now);
  void On(const engine::OrderDone& done, Instant now);
  void On(const engine::EngineState& state, Instant now);

  void NoteManifestOffset(LogOffset manifest);
  bool Holds(const AttemptId& attempt) const;
  void CountUnknown(bool known);
  // Frees everything that the attempt holds and closes it.
  void Release(const AttemptId& attempt, Instant now);
  // The core closes the connection itself.
  void EndSession(SessionId session, ResultCode code, Instant now);
  void FreeSession(SessionId session, Instant now);
  // Reports to the pool's maintenance queue what the engine needs, and to the
  // orders whether their place in the queue permits them.
  void AdvanceMaintenance(Instant now);
  // Sends the order or query to the engine that is due.
  void AdvanceOrders(Instant now);
  bool Idle() const;
  void Drain(DrainState::Cause cause, Instant now);
  void SendLeaving(SessionId session, Instant now);
  LogOffset ManifestOffset() const;

  AgentOptions options;
  AgentCounters counters;
  Outbox outbox;
  SessionTable sessions;
  AttemptTable attempts;
  EngineAudit audit;
  DrainState drain;
  EngineOrders orders;
  MaintenancePermission maintenance_permission;
  SharedParts parts;
  AttemptAdmission attempt_admission;
  DecodeWork decode;
  PrefillWork prefill;
  CallWork calls;
  std::shared_ptr<const manifest::Manifest> active_manifest;
  protocol::EndpointRole wanted_role = protocol::EndpointRole::kPlain;
  bool leaves_pool = false;  // by the active manifest
  LogOffset newest_reported_manifest;
  std::uint16_t heartbeat_port = 0;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_AGENT_IMPLEMENTATION_H_
