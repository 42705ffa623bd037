#ifndef AGENT_AGENT_CORE_H_
#define AGENT_AGENT_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "agent/types/agent_counters.h"
#include "agent/types/agent_messages.h"
#include "agent/types/agent_options.h"
#include "agent/types/held_attempt.h"
#include "agent/types/order_status.h"
#include "cluster/i_log.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "protocol/types/heartbeat.h"

namespace acacialug::agent {

// Makes every decision of an agent, without sockets, threads or a clock: it
// takes typed input and `now`, and returns typed actions. The process, the
// scenarios and the random explorer all run this same class.
//
// The agent is the only authority over its endpoint: only the agent admits work
// to the engine, holds reservations and exports, keeps the at-most-once ledger,
// and gives orders. Not thread safe; `now` never goes backwards.
class AgentCore {
 public:
  AgentCore(AgentOptions options, RandomSource& random);
  ~AgentCore();

  // Call once before any other method: lists what the engine holds and aborts
  // all of it, since a fresh agent owns nothing. New work is refused
  // (kNotReady) until the engine has answered.
  void Start(Instant now);

  void OnSessionOpened(SessionId session, Instant now);
  void OnMessage(SessionId session,
                 const protocol::EntryToAgent& message,
                 Instant now);
  // The connection is closed: everything that the session's requests hold is
  // freed.
  void OnSessionClosed(SessionId session, Instant now);
  // From now on Welcomes name this UDP port for heartbeats. With 0, and before
  // this call, sessions are renewed by frames only.
  void AcceptHeartbeats(std::uint16_t port);
  // A datagram from any sender. Renews the sessions that a Hello of the same
  // process start opened and that have not ended. Empty: it renews no session
  // and must not be answered.
  std::optional<protocol::HeartbeatAnswer> OnHeartbeat(
      const protocol::Heartbeat& heartbeat,
      Instant now);
  // False: renewals cost more than their byte budget, even at the longest
  // interval.
  bool within_heartbeat_budget() const;

  void OnEngineEvent(const engine::EngineEvent& event, Instant now);
  // The answer to a ReadMaintenanceStream or an AppendMaintenanceRecord. Errors
  // in them: as ILog's.
  void OnMaintenanceRead(const Result<cluster::ILog::Read>& read, Instant now);
  void OnMaintenanceAppended(const Result<LogOffset>& appended, Instant now);
  // Call at or after next_timer().
  void OnTimer(Instant now);

  // A newer manifest is active (orders, limits, leaving).
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);

  // Leaves: refuses new work as kDraining, notifies every entry, and lets
  // running work continue until the grace ends.
  void BeginDrain(Instant now);

  // Nothing runs and nothing is reserved. Precondition: BeginDrain was called.
  bool drained() const;

  // kNever when nothing is due.
  Instant next_timer() const;

  // The actions since the last call, in order.
  std::vector<AgentAction> TakeActions();

  protocol::EndpointLoad load(Instant now) const;
  AgentCounters counters() const;
  OrderStatus order_status() const;

  // The last manifest offset above the active one that an entry has named: the
  // process has to fetch a newer manifest. It isn't the highest of all such
  // offsets: an entry that names a manifest which never arrives must not hide
  // the reports of the others.
  LogOffset newest_reported_manifest() const;

  // No entry has a session here, so no entry reports newer manifests.
  bool has_no_sessions() const;

  // The attempts that the invariant checker of the scenarios examines: every
  // attempt that holds a reservation, engine memory, an export or a call here.
  std::vector<AttemptId> held_attempts() const;
  // The same attempts with what each holds and for how long, for operators.
  std::vector<HeldAttempt> Holdings(Instant now) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::agent

#endif  // AGENT_AGENT_CORE_H_
