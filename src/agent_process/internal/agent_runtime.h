#ifndef AGENT_PROCESS_INTERNAL_AGENT_RUNTIME_H_
#define AGENT_PROCESS_INTERNAL_AGENT_RUNTIME_H_

#include <QObject>
#include <QTimer>
#include <memory>
#include <vector>

#include "agent/agent_core.h"
#include "agent_process/agent_process.h"
#include "agent_process/internal/engine_timings.h"
#include "agent_process/internal/session_table.h"
#include "framework/log/repeat_limiter.h"
#include "framework/net/datagram_socket.h"
#include "framework/net/frame_channel.h"

namespace acacialug::agent_process {

// Connects an AgentCore to its sessions, engine and timer. Created once the
// active manifest defines the endpoint's role. Runs on one thread with a Qt
// event loop.
class AgentRuntime {
 public:
  // `complete`: the settings as WithManifest returned them. All references must
  // outlive this object.
  AgentRuntime(const AgentProcessOptions& process_options,
               const AgentSettings& complete,
               RandomSource& random,
               metrics::Registry& registry);

  // Listens for entries and queries the engine for what it holds. Errors:
  // kAddressInUse, kCertificateInvalid.
  Status Start();

  // Precondition: newer than every manifest given before. A manifest without
  // this endpoint counts as one that marks it as leaving.
  void OnManifest(const std::shared_ptr<const manifest::Manifest>& newest);

  // The options' on_drained follows. Repeated calls change nothing.
  void Drain();

  Status ReloadTls() { return this->frames.ReloadTls(); }
  std::uint16_t port() const { return this->frames.port(); }

  // Sets the fields that the runtime knows.
  void FillStatus(AgentStatus& status) const;
  std::vector<agent::HeldAttempt> Holdings() const {
    return this->core.Holdings(MonotonicNow());
  }

 private:
  agent::AgentOptions CoreOptions() const;
  SessionTable::Hooks SessionHooks();
  net::FrameServer::Options FrameOptions();

  // When no socket can be bound, that is logged and frames renew the sessions.
  void StartHeartbeats();
  void OnDatagram(std::string_view datagram, const http::Address& from);
  void OnEngineEvent(const engine::EngineEvent& event);
  void Count(const engine::EngineEvent& event);
  void LogFailure(const engine::AttemptFailed& failed);
  void OnTimer();
  // Carries out the core's actions and arms the timer for its next instant.
  void Pump(Instant now);
  void Do(const agent::SendToEntry& action);
  void Do(const agent::CloseSession& action);
  void Do(const agent::ExecuteOnEngine& action);
  void Do(const agent::ReadMaintenanceStream& action);
  void Do(const agent::AppendMaintenanceRecord& action);
  void ArmTimer(Instant now);
  void CheckBudget();
  void ReportNewerManifest();
  void ReportAlone();
  void CheckDrained(Instant now);
  void CheckFlushed();

  const AgentProcessOptions& options;
  AgentSettings settings;
  Incarnation incarnation;
  ProcessCounters counters;
  EngineTimings timings;
  log::RepeatLimiter limiter{{}};
  agent::AgentCore core;
  std::unique_ptr<engine::IEngine> engine;
  std::unique_ptr<cluster::ILog> maintenance_log;  // null: no queue
  // Answers that arrive after this object's destruction are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
  SessionTable sessions;
  net::FrameServer frames;
  net::DatagramSocket heartbeats;
  QTimer core_timer;
  Instant armed_for = kNever;
  QTimer flush_timer;
  Instant flush_ends = kNever;
  bool within_budget = true;
  bool engine_known = false;
  bool draining = false;
  bool drained_reported = false;
  LogOffset last_reported;
  bool reported_alone = false;
  // This endpoint's record, from the newest manifest that has one.
  manifest::Endpoint record;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_AGENT_RUNTIME_H_
