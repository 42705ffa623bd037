#include "agent_process/agent_process.h"

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <utility>
#include <variant>

#include "agent/agent_core.h"
#include "agent_process/internal/operations_pages.h"
#include "agent_process/internal/session_table.h"
#include "framework/http/http_server.h"
#include "framework/log/log.h"

namespace acacialug::agent_process {
namespace {

// The last answers get this long to leave after the drain; a peer that does
// not read must not keep the process.
constexpr Duration kFlushLimit = 2s;
constexpr std::chrono::milliseconds kFlushCheck{20};

// Qt's timers count milliseconds; rounded up, so that a timer is never early
// and the core is not asked in vain. At least one: whatever is due, this
// process never spins.
std::chrono::milliseconds RoundUp(Duration duration) {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                  std::chrono::milliseconds(1));
}

}  // namespace

class AgentProcess::Implementation {
 public:
  explicit Implementation(AgentProcessOptions process_options)
      : options(std::move(process_options)),
        random(RandomSource::FromSystem()),
        incarnation(this->random.NextIncarnation()),
        core(this->CoreOptions(), this->random),
        engine(this->options.make_engine(this->options.settings.engine)),
        sessions(this->SessionHooks(), this->counters),
        frames(this->FrameOptions()),
        operations(this->OperationsOptions()) {
    this->core_timer.setSingleShot(true);
    this->core_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&this->core_timer, &QTimer::timeout,
                     [this] { this->OnTimer(); });
    QObject::connect(&this->flush_timer, &QTimer::timeout,
                     [this] { this->CheckFlushed(); });
    this->engine->SetOnEvent([this](const engine::EngineEvent& event) {
      this->OnEngineEvent(event);
    });
  }

  Status Start() {
    Status operations_started = this->operations.Start();
    if (!operations_started.ok()) {
      return operations_started;
    }
    Status frames_started = this->frames.Start();
    if (!frames_started.ok()) {
      return frames_started;
    }
    const Instant now = MonotonicNow();
    this->core.Start(now);
    this->core.OnManifest(this->options.manifest, now);
    this->Pump(now);
    return Success{};
  }

  void Drain() {
    if (std::exchange(this->draining, true)) {
      return;
    }
    const Instant now = MonotonicNow();
    log::Info("drain_began",
              {.endpoint = this->options.settings.agent.endpoint});
    this->core.BeginDrain(now);
    this->Pump(now);
  }

  void OnManifest(std::shared_ptr<const manifest::Manifest> newest) {
    this->options.manifest = std::move(newest);
    const Instant now = MonotonicNow();
    this->core.OnManifest(this->options.manifest, now);
    this->Pump(now);
  }

  Status ReloadTls() { return this->frames.ReloadTls(); }
  std::uint16_t port() const { return this->frames.port(); }
  std::uint16_t operations_port() const { return this->operations.port(); }

  AgentStatus status() const {
    const agent::AgentOptions& agent = this->options.settings.agent;
    return {.endpoint = agent.endpoint,
            .incarnation = this->incarnation,
            .role = agent.role,
            .manifest_offset = this->options.manifest->offset,
            .manifest_version = this->options.manifest->version,
            .engine_known = this->engine_known,
            .draining = this->draining,
            .load = this->core.load(MonotonicNow()),
            .sessions = this->sessions.List(),
            .held_attempts = this->core.held_attempts(),
            .counters = this->counters,
            .core_counters = this->core.counters()};
  }

 private:
  agent::AgentOptions CoreOptions() const {
    agent::AgentOptions core_options = this->options.settings.agent;
    core_options.incarnation = this->incarnation;
    return core_options;
  }

  SessionTable::Hooks SessionHooks() {
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

  net::FrameServer::Options FrameOptions() {
    return {.listen = this->options.settings.listen,
            .channel = {.tls = this->options.settings.peer_tls},
            .on_channel = [this](const net::FrameChannelPtr& channel) {
              this->sessions.Add(channel);
            }};
  }

  http::ServerOptions OperationsOptions() {
    http::ServerOptions server;
    server.listen = this->options.settings.operations_listen;
    // Small: this port must not take the memory that the agent's work needs.
    server.limits.max_body_bytes = 4096;
    server.limits.max_connections = 64;
    server.make_handler = [this](int) {
      return [this](const http::Request& request,
                    const http::ResponderPtr& responder) {
        responder->SendWhole(
            AnswerOperations(request, [this] { return this->status(); }));
      };
    };
    return server;
  }

  void OnEngineEvent(const engine::EngineEvent& event) {
    ++this->counters.engine_events;
    this->CountEngineEvent(event);
    const Instant now = MonotonicNow();
    this->core.OnEngineEvent(event, now);
    this->Pump(now);
  }

  void CountEngineEvent(const engine::EngineEvent& event) {
    if (const auto* text = std::get_if<engine::Text>(&event)) {
      this->counters.output_tokens += text->tokens;
    } else if (const auto* failed =
                   std::get_if<engine::AttemptFailed>(&event)) {
      ++this->counters.engine_failures;
      log::WriteLimited(this->limiter, MonotonicNow(), log::Level::kWarning,
                        "engine_attempt_failed",
                        {.request = failed->attempt.request,
                         .attempt = failed->attempt.attempt,
                         .endpoint = this->options.settings.agent.endpoint,
                         .code = failed->code,
                         .fields = {{"outcome", NameOf(protocol::kOutcomeNames,
                                                       failed->outcome)}}});
    } else if (std::holds_alternative<engine::ListFailed>(event)) {
      log::WriteLimited(this->limiter, MonotonicNow(), log::Level::kWarning,
                        "engine_list_failed",
                        {.endpoint = this->options.settings.agent.endpoint,
                         .code = ResultCode::kEngineUnavailable});
    }
    this->engine_known |= std::holds_alternative<engine::Held>(event);
    this->counters.prefills_done +=
        std::holds_alternative<engine::PrefillDone>(event);
    this->counters.streams_done +=
        std::holds_alternative<engine::StreamDone>(event);
    this->counters.calls_done +=
        std::holds_alternative<engine::CallDone>(event);
  }

  void OnTimer() {
    const Instant now = MonotonicNow();
    this->core.OnTimer(now);
    this->Pump(now);
  }

  // Carries out what the core decided, and arms the timer for what comes next.
  void Pump(Instant now) {
    for (std::vector<agent::AgentAction> actions = this->core.TakeActions();
         !actions.empty(); actions = this->core.TakeActions()) {
      for (const agent::AgentAction& action : actions) {
        std::visit([this](const auto& concrete) { this->Do(concrete); },
                   action);
      }
    }
    this->ArmTimer(now);
    this->CheckDrained(now);
  }

  void Do(const agent::SendToEntry& action) {
    this->sessions.Send(action.session, action.message);
  }

  void Do(const agent::CloseSession& action) {
    this->sessions.Close(action.session, action.code);
  }

  void Do(const agent::ExecuteOnEngine& action) {
    this->engine->Execute(action.command);
  }

  void ArmTimer(Instant now) {
    const Instant due = this->core.next_timer();
    if (due == kNever) {
      this->core_timer.stop();
      this->armed_for = kNever;
      return;
    }
    if (due == this->armed_for && this->core_timer.isActive()) {
      return;
    }
    this->armed_for = due;
    this->core_timer.start(RoundUp(due - now));
  }

  void CheckDrained(Instant now) {
    if (!this->draining || this->flush_timer.isActive() || this->drained_told) {
      return;
    }
    if (!this->core.drained()) {
      return;
    }
    log::Info("drain_ended",
              {.endpoint = this->options.settings.agent.endpoint});
    this->flush_ends = now + kFlushLimit;
    this->flush_timer.start(kFlushCheck);
  }

  void CheckFlushed() {
    if (this->sessions.unsent_bytes() > 0 &&
        MonotonicNow() < this->flush_ends) {
      return;
    }
    this->flush_timer.stop();
    this->drained_told = true;
    this->sessions.CloseAll();
    if (this->options.on_drained) {
      this->options.on_drained();
    }
  }

  AgentProcessOptions options;
  RandomSource random;
  Incarnation incarnation;
  ProcessCounters counters;
  log::RepeatLimiter limiter{{}};
  agent::AgentCore core;
  std::unique_ptr<engine::IEngine> engine;
  SessionTable sessions;
  net::FrameServer frames;
  http::Server operations;
  QTimer core_timer;
  Instant armed_for = kNever;
  QTimer flush_timer;
  bool engine_known = false;
  bool draining = false;
  bool drained_told = false;
  Instant flush_ends = kNever;
};

AgentProcess::AgentProcess(AgentProcessOptions process_options)
    : implementation(
          std::make_unique<Implementation>(std::move(process_options))) {}

AgentProcess::~AgentProcess() = default;

Status AgentProcess::Start() {
  return this->implementation->Start();
}

void AgentProcess::Drain() {
  this->implementation->Drain();
}

void AgentProcess::OnManifest(
    std::shared_ptr<const manifest::Manifest> newest) {
  this->implementation->OnManifest(std::move(newest));
}

Status AgentProcess::ReloadTls() {
  return this->implementation->ReloadTls();
}

std::uint16_t AgentProcess::port() const {
  return this->implementation->port();
}

std::uint16_t AgentProcess::operations_port() const {
  return this->implementation->operations_port();
}

AgentStatus AgentProcess::status() const {
  return this->implementation->status();
}

}  // namespace acacialug::agent_process
