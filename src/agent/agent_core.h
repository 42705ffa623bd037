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

// Every decision of an agent, without sockets, threads or a clock: typed
// input and `now` in, typed actions out. The process, the scenarios and the
// random explorer all run this same class.
//
// The agent is the only authority over its endpoint: it alone admits work to
// the engine, holds reservations and exports, keeps the at-most-once ledger,
// and gives orders. Not thread safe; `now` never goes backwards.
class AgentCore {
 public:
  AgentCore(AgentOptions options, RandomSource& random);
  ~AgentCore();

  // Call once before anything else: asks the engine what it holds and aborts
  // all of it, since a fresh agent owns nothing. New work is refused
  // (kNotReady) until the engine has answered.
  void Start(Instant now);

  void OnSessionOpened(SessionId session, Instant now);
  void OnMessage(SessionId session,
                 const protocol::EntryToAgent& message,
                 Instant now);
  // The connection is gone: all that the session's requests hold is freed.
  void OnSessionClosed(SessionId session, Instant now);
  // From here on Welcomes name this UDP port for heartbeats; 0, and before:
  // sessions are renewed by frames only.
  void AcceptHeartbeats(std::uint16_t port);
  // A datagram, whoever sent it. Renews the sessions that a Hello of the same
  // process start opened and that have not ended. Empty: renews none, and is
  // not to be answered.
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

  // A newer manifest is in force (orders, limits, leaving).
  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);

  // Leaves: refuses new work as kDraining, tells every entry, lets run what
  // runs until the grace ends.
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

  // The manifest offset above the one in force here that an entry has named
  // last: the process has to fetch a newer manifest. Not the highest of all:
  // an entry that names one which never comes must not hide the others' word.
  LogOffset newest_reported_manifest() const;

  // No entry has a session here: nobody tells of newer manifests.
  bool has_no_sessions() const;

  // What the invariant checker of the scenarios looks at: every attempt that
  // holds a reservation, engine memory, an export or a call here.
  std::vector<AttemptId> held_attempts() const;
  // The same with what each holds and for how long, for operators.
  std::vector<HeldAttempt> Holdings(Instant now) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::agent

#endif  // AGENT_AGENT_CORE_H_
