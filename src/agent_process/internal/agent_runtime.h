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

// An AgentCore with its sessions, engine and timer around it. Made once the
// manifest in force tells the endpoint's role. Lives on one thread with a Qt
// event loop.
class AgentRuntime {
 public:
  // `complete`: the settings as WithManifest gave them. All references must
  // outlive this.
  AgentRuntime(const AgentProcessOptions& process_options,
               const AgentSettings& complete,
               RandomSource& random,
               metrics::Registry& registry);

  // Listens for entries and asks the engine what it holds. Errors:
  // kAddressInUse, kCertificateInvalid.
  Status Start();

  // Precondition: newer than what was given before. A manifest without this
  // endpoint counts as one in which it is leaving.
  void OnManifest(const std::shared_ptr<const manifest::Manifest>& newest);

  // on_drained of the options follows. Repeated calls change nothing.
  void Drain();

  Status ReloadTls() { return this->frames.ReloadTls(); }
  std::uint16_t port() const { return this->frames.port(); }

  // Fills what the runtime knows.
  void FillStatus(AgentStatus& status) const;
  std::vector<agent::HeldAttempt> Holdings() const {
    return this->core.Holdings(MonotonicNow());
  }

 private:
  agent::AgentOptions CoreOptions() const;
  SessionTable::Hooks SessionHooks();
  net::FrameServer::Options FrameOptions();

  // Without a socket (it is logged) sessions are renewed by frames.
  void StartHeartbeats();
  void OnDatagram(std::string_view datagram, const http::Address& from);
  void OnEngineEvent(const engine::EngineEvent& event);
  void Count(const engine::EngineEvent& event);
  void LogFailure(const engine::AttemptFailed& failed);
  void OnTimer();
  // Carries out what the core decided, and arms the timer for what comes next.
  void Pump(Instant now);
  void Do(const agent::SendToEntry& action);
  void Do(const agent::CloseSession& action);
  void Do(const agent::ExecuteOnEngine& action);
  void Do(const agent::ReadMaintenanceStream& action);
  void Do(const agent::AppendMaintenanceRecord& action);
  void ArmTimer(Instant now);
  void CheckBudget();
  void TellNewerManifest();
  void TellAlone();
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
  std::unique_ptr<cluster::ILog> turns_log;  // null: orders take no turns
  // Answers that come after this object's end are dropped.
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
  bool drained_told = false;
  LogOffset last_told;
  bool told_alone = false;
  manifest::Endpoint record;  // of this endpoint, as last seen
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_AGENT_RUNTIME_H_
