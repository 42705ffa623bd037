#include "agent/agent_core.h"

#include <utility>

#include "agent/internal/agent_implementation.h"

namespace acacialug::agent {

AgentCore::AgentCore(AgentOptions options, RandomSource& random)
    : implementation(
          std::make_unique<Implementation>(std::move(options), random)) {}

AgentCore::~AgentCore() = default;

void AgentCore::Start(Instant now) {
  this->implementation->Start(now);
}

void AgentCore::OnSessionOpened(SessionId session, Instant now) {
  this->implementation->OnSessionOpened(session, now);
}

void AgentCore::OnMessage(SessionId session,
                          const protocol::EntryToAgent& message,
                          Instant now) {
  this->implementation->OnMessage(session, message, now);
}

void AgentCore::OnSessionClosed(SessionId session, Instant now) {
  this->implementation->OnSessionClosed(session, now);
}

void AgentCore::AcceptHeartbeats(std::uint16_t port) {
  this->implementation->AcceptHeartbeats(port);
}

std::optional<protocol::HeartbeatAnswer> AgentCore::OnHeartbeat(
    const protocol::Heartbeat& heartbeat,
    Instant now) {
  return this->implementation->OnHeartbeat(heartbeat, now);
}

bool AgentCore::within_heartbeat_budget() const {
  return this->implementation->WithinHeartbeatBudget();
}

void AgentCore::OnEngineEvent(const engine::EngineEvent& event, Instant now) {
  this->implementation->OnEngineEvent(event, now);
}

void AgentCore::OnMaintenanceRead(const Result<cluster::ILog::Read>& read,
                                  Instant now) {
  this->implementation->OnMaintenanceRead(read, now);
}

void AgentCore::OnMaintenanceAppended(const Result<LogOffset>& appended,
                                      Instant now) {
  this->implementation->OnMaintenanceAppended(appended, now);
}

void AgentCore::OnTimer(Instant now) {
  this->implementation->Expire(now);
}

void AgentCore::OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                           Instant now) {
  this->implementation->OnManifest(std::move(newest), now);
}

void AgentCore::BeginDrain(Instant now) {
  this->implementation->BeginDrain(now);
}

bool AgentCore::drained() const {
  return this->implementation->Drained();
}

Instant AgentCore::next_timer() const {
  return this->implementation->NextTimer();
}

std::vector<AgentAction> AgentCore::TakeActions() {
  return this->implementation->TakeActions();
}

protocol::EndpointLoad AgentCore::load(Instant now) const {
  return this->implementation->Load(now);
}

AgentCounters AgentCore::counters() const {
  return this->implementation->Counters();
}

OrderStatus AgentCore::order_status() const {
  return this->implementation->Orders();
}

LogOffset AgentCore::newest_reported_manifest() const {
  return this->implementation->NewestReportedManifest();
}

bool AgentCore::has_no_sessions() const {
  return this->implementation->HasNoSessions();
}

std::vector<AttemptId> AgentCore::held_attempts() const {
  return this->implementation->HeldAttempts();
}

std::vector<HeldAttempt> AgentCore::Holdings(Instant now) const {
  return this->implementation->Holdings(now);
}

}  // namespace acacialug::agent
