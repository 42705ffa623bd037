#include "agent_process/internal/agent_runtime.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "framework/log/log.h"
#include "protocol/message_codec.h"

namespace acacialug::agent_process {
namespace {

// Time limit for sending the last answers after the drain; a peer that does not
// read must not keep the process running.
constexpr Duration kFlushLimit = 2s;
constexpr std::chrono::milliseconds kFlushCheck{20};
constexpr std::size_t kMaintenanceRecordsPerRead = 1024;

// Qt's timers count milliseconds. The duration is rounded up, so that a timer
// doesn't fire early and call the core for nothing. It is at least 1 ms, so
// that the process never spins.
std::chrono::milliseconds RoundUp(Duration duration) {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                  std::chrono::milliseconds(1));
}

}  // namespace

AgentRuntime::AgentRuntime(const AgentProcessOptions& process_options,
                           const AgentSettings& complete,
                           RandomSource& random,
                           metrics::Registry& registry)
    : options(process_options),
      settings(complete),
      incarnation(random.NextIncarnation()),
      timings(registry),
      core(this->CoreOptions(), random),
      engine(process_options.make_engine(complete.engine)),
      maintenance_log(process_options.make_maintenance_log
                          ? process_options.make_maintenance_log()
                          : nullptr),
      sessions(this->SessionHooks(), this->counters),
      frames(this->FrameOptions()),
      heartbeats({.max_bytes = protocol::kMaxDatagramBytes,
                  .on_datagram = [this](std::string_view datagram,
                                        const http::Address& from) {
                    this->OnDatagram(datagram, from);
                  }}) {
  this->core_timer.setSingleShot(true);
  this->core_timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->core_timer, &QTimer::timeout,
                   [this] { this->OnTimer(); });
  QObject::connect(&this->flush_timer, &QTimer::timeout,
                   [this] { this->CheckFlushed(); });
  this->engine->SetOnEvent(
      [this](const engine::EngineEvent& event) { this->OnEngineEvent(event); });
}

Status AgentRuntime::Start() {
  Status started = this->frames.Start();
  if (!started.ok()) {
    return started;
  }
  this->StartHeartbeats();
  const Instant now = MonotonicNow();
  this->core.Start(now);
  this->Pump(now);
  return started;
}

void AgentRuntime::StartHeartbeats() {
  // A datagram would not authenticate its sender: the certificates of peer_tls
  // cover connections only (docs/decisions).
  if (this->settings.peer_tls.enabled()) {
    return;
  }
  // Firewalls let entries reach this port, unless the system chose it.
  const Status bound = this->heartbeats.Bind(this->settings.listen);
  if (!bound.ok()) {
    log::Warning("heartbeats_by_frames",
                 {.endpoint = this->settings.agent.endpoint,
                  .code = bound.error().result_code(),
                  .fields = {{"detail", bound.error().detail}}});
    return;
  }
  this->core.AcceptHeartbeats(this->heartbeats.port());
}

void AgentRuntime::OnDatagram(std::string_view datagram,
                              const http::Address& from) {
  const Result<protocol::Heartbeat> heartbeat =
      protocol::DecodeHeartbeat(datagram);
  if (!heartbeat.ok()) {
    ++this->counters.bad_datagrams;
    log::WriteLimited(this->limiter, MonotonicNow(), log::Level::kWarning,
                      "bad_datagram",
                      {.endpoint = this->settings.agent.endpoint,
                       .code = heartbeat.error().result_code(),
                       .fields = {{"from", ToString(from)}}});
    return;
  }
  const Instant now = MonotonicNow();
  const auto answer = this->core.OnHeartbeat(*heartbeat, now);
  if (answer) {
    this->heartbeats.Send(protocol::Encode(*answer), from);
  }
  this->Pump(now);
}

void AgentRuntime::OnManifest(
    const std::shared_ptr<const manifest::Manifest>& newest) {
  std::shared_ptr<const manifest::Manifest> given = newest;
  const manifest::Endpoint* found =
      newest->FindEndpoint(this->settings.agent.endpoint);
  if (found != nullptr) {
    this->record = *found;
  } else {
    // The core ignores a manifest that does not name its endpoint; without this
    // a removed endpoint would continue to serve indefinitely.
    auto with_record = std::make_shared<manifest::Manifest>(*newest);
    this->record.leaving = true;
    with_record->endpoints.push_back(this->record);
    given = std::move(with_record);
  }
  const Instant now = MonotonicNow();
  this->core.OnManifest(std::move(given), now);
  this->Pump(now);
}

void AgentRuntime::Drain() {
  if (std::exchange(this->draining, true)) {
    return;
  }
  const Instant now = MonotonicNow();
  log::Info("drain_began", {.endpoint = this->settings.agent.endpoint});
  this->core.BeginDrain(now);
  this->Pump(now);
}

void AgentRuntime::FillStatus(AgentStatus& status) const {
  status.incarnation = this->incarnation;
  status.role = this->record.role;
  status.engine_known = this->engine_known;
  status.load = this->core.load(MonotonicNow());
  status.orders = this->core.order_status();
  status.draining = this->draining || status.load.leaving;
  status.sessions = this->sessions.List();
  status.held_attempts = this->core.held_attempts();
  status.counters = this->counters;
  const net::DatagramCounters& datagrams = this->heartbeats.counters();
  status.counters.bad_datagrams += datagrams.too_long;
  status.counters.heartbeat_bytes_received =
      datagrams.received_bytes +
      datagrams.received * protocol::kDatagramHeaderBytes;
  status.counters.heartbeat_bytes_sent =
      datagrams.sent_bytes + datagrams.sent * protocol::kDatagramHeaderBytes;
  status.core_counters = this->core.counters();
}

agent::AgentOptions AgentRuntime::CoreOptions() const {
  agent::AgentOptions core_options = this->settings.agent;
  core_options.incarnation = this->incarnation;
  core_options.use_maintenance_queue =
      static_cast<bool>(this->options.make_maintenance_log);
  return core_options;
}

SessionTable::Hooks AgentRuntime::SessionHooks() {
  return {.on_opened =
              [this](agent::SessionId session) {
                const Instant now = MonotonicNow();
                this->core.OnSessionOpened(session, now);
                this->Pump(now);
              },
          .on_message =
              [this](agent::SessionId session,
                     const protocol::EntryToAgent& message) {
                const Instant now = MonotonicNow();
                this->core.OnMessage(session, message, now);
                this->Pump(now);
              },
          .on_closed =
              [this](agent::SessionId session) {
                const Instant now = MonotonicNow();
                this->core.OnSessionClosed(session, now);
                this->Pump(now);
              }};
}

net::FrameServer::Options AgentRuntime::FrameOptions() {
  return {.listen = this->settings.listen,
          .channel = {.tls = this->settings.peer_tls},
          .on_channel = [this](const net::FrameChannelPtr& channel) {
            this->sessions.Add(channel);
          }};
}

void AgentRuntime::OnEngineEvent(const engine::EngineEvent& event) {
  this->Count(event);
  const Instant now = MonotonicNow();
  this->timings.OnEvent(event, now);
  this->core.OnEngineEvent(event, now);
  this->Pump(now);
}

void AgentRuntime::Count(const engine::EngineEvent& event) {
  ++this->counters.engine_events;
  if (const auto* text = std::get_if<engine::Text>(&event)) {
    this->counters.output_tokens += text->tokens;
  } else if (const auto* failed = std::get_if<engine::AttemptFailed>(&event)) {
    ++this->counters.engine_failures;
    this->LogFailure(*failed);
  } else if (std::holds_alternative<engine::ListFailed>(event)) {
    log::WriteLimited(this->limiter, MonotonicNow(), log::Level::kWarning,
                      "engine_list_failed",
                      {.endpoint = this->settings.agent.endpoint,
                       .code = ResultCode::kEngineUnavailable});
  }
  this->engine_known |= std::holds_alternative<engine::Held>(event);
  this->counters.prefills_done +=
      std::holds_alternative<engine::PrefillDone>(event);
  this->counters.streams_done +=
      std::holds_alternative<engine::StreamDone>(event);
  this->counters.calls_done += std::holds_alternative<engine::CallDone>(event);
}

void AgentRuntime::LogFailure(const engine::AttemptFailed& failed) {
  log::WriteLimited(this->limiter, MonotonicNow(), log::Level::kWarning,
                    "engine_attempt_failed",
                    {.request = failed.attempt.request,
                     .attempt = failed.attempt.attempt,
                     .endpoint = this->settings.agent.endpoint,
                     .code = failed.code,
                     .fields = {{"outcome", NameOf(protocol::kOutcomeNames,
                                                   failed.outcome)}}});
}

void AgentRuntime::OnTimer() {
  this->armed_for = kNever;
  const Instant now = MonotonicNow();
  if (now >= this->core.next_timer()) {
    this->core.OnTimer(now);
  }
  this->Pump(now);
}

void AgentRuntime::Pump(Instant now) {
  for (std::vector<agent::AgentAction> actions = this->core.TakeActions();
       !actions.empty(); actions = this->core.TakeActions()) {
    for (const agent::AgentAction& action : actions) {
      std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
    }
  }
  this->ArmTimer(now);
  this->ReportNewerManifest();
  this->ReportAlone();
  this->CheckBudget();
  this->CheckDrained(now);
}

void AgentRuntime::Do(const agent::SendToEntry& action) {
  this->sessions.Send(action.session, action.message);
}

void AgentRuntime::Do(const agent::CloseSession& action) {
  this->sessions.Close(action.session, action.code);
}

void AgentRuntime::Do(const agent::ExecuteOnEngine& action) {
  this->timings.OnCommand(action.command, MonotonicNow());
  this->engine->Execute(action.command);
}

void AgentRuntime::Do(const agent::ReadMaintenanceStream& action) {
  this->maintenance_log->ReadFrom(
      action.stream, action.from, kMaintenanceRecordsPerRead, Duration::zero(),
      [this, weak = std::weak_ptr(this->alive)](
          const Result<cluster::ILog::Read>& result) {
        if (!weak.expired()) {
          const Instant now = MonotonicNow();
          this->core.OnMaintenanceRead(result, now);
          this->Pump(now);
        }
      });
}

void AgentRuntime::Do(const agent::AppendMaintenanceRecord& action) {
  this->maintenance_log->Append(
      action.stream, action.payload,
      [this,
       weak = std::weak_ptr(this->alive)](const Result<LogOffset>& result) {
        if (!weak.expired()) {
          const Instant now = MonotonicNow();
          this->core.OnMaintenanceAppended(result, now);
          this->Pump(now);
        }
      });
}

// The core's next instant changes with every token. The event loop's timer is
// restarted only when that instant moves earlier; when it moves later, the
// timer fires too early, and OnTimer then only arms it again.
void AgentRuntime::ArmTimer(Instant now) {
  const Instant due = this->core.next_timer();
  if (due >= this->armed_for) {
    return;
  }
  this->armed_for = due;
  this->core_timer.start(RoundUp(due - now));
}

void AgentRuntime::CheckBudget() {
  const bool within = this->core.within_heartbeat_budget();
  if (within == std::exchange(this->within_budget, within)) {
    return;
  }
  this->counters.heartbeat_over_budget += within ? 0 : 1;
  log::WriteLimited(
      this->limiter, MonotonicNow(),
      within ? log::Level::kInfo : log::Level::kWarning,
      within ? "heartbeat_budget_held" : "heartbeat_budget_exceeded",
      {.endpoint = this->settings.agent.endpoint,
       .fields = {{"bytes_per_second",
                   this->settings.agent.heartbeats.bytes_per_second}}});
}

void AgentRuntime::ReportNewerManifest() {
  const LogOffset newest = this->core.newest_reported_manifest();
  if (newest != this->last_reported && this->options.on_newer_manifest) {
    this->last_reported = newest;
    this->options.on_newer_manifest(newest);
  }
}

void AgentRuntime::ReportAlone() {
  const bool now_alone = this->core.has_no_sessions();
  if (now_alone != this->reported_alone && this->options.on_alone) {
    this->reported_alone = now_alone;
    this->options.on_alone(now_alone);
  }
}

void AgentRuntime::CheckDrained(Instant now) {
  if (!this->draining || this->drained_reported ||
      this->flush_timer.isActive() || !this->core.drained()) {
    return;
  }
  log::Info("drain_ended", {.endpoint = this->settings.agent.endpoint});
  this->flush_ends = now + kFlushLimit;
  this->flush_timer.start(kFlushCheck);
}

void AgentRuntime::CheckFlushed() {
  if (this->sessions.unsent_bytes() > 0 && MonotonicNow() < this->flush_ends) {
    return;
  }
  this->flush_timer.stop();
  this->drained_reported = true;
  this->sessions.CloseAll();
  if (this->options.on_drained) {
    this->options.on_drained();
  }
}

}  // namespace acacialug::agent_process
