#include "agent/internal/agent_implementation.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace acacialug::agent {

using protocol::EndpointRole;

AgentCore::Implementation::Implementation(AgentOptions agent_options,
                                          RandomSource& random_source)
    : options(std::move(agent_options)),
      outbox([this](Instant now) { return this->Load(now); }),
      sessions({.lease = this->options.session_lease,
                .heartbeats = this->options.heartbeats,
                .expire = this->options.rules.expire_leases}),
      attempts({.check = this->options.rules.check_attempts}),
      audit({}),
      drain(this->options.drain_grace),
      orders({.use_maintenance_queue = this->options.use_maintenance_queue},
             random_source),
      maintenance_permission(this->options, random_source),
      parts{this->options, this->outbox, this->attempts, this->audit,
            this->counters},
      attempt_admission(this->parts,
                        this->sessions,
                        this->drain,
                        this->orders,
                        [this](const AttemptId& attempt, Instant now) {
                          this->Release(attempt, now);
                        }),
      decode(this->parts),
      prefill(this->parts),
      calls(this->parts) {}

// Inputs.

void AgentCore::Implementation::Start(Instant now) {
  this->audit.Start(now);
  this->Expire(now);
}

void AgentCore::Implementation::OnSessionOpened(SessionId session,
                                                Instant now) {
  this->Expire(now);
  this->sessions.Open(session, now);
}

void AgentCore::Implementation::OnMessage(SessionId session,
                                          const protocol::EntryToAgent& message,
                                          Instant now) {
  this->Expire(now);
  if (!this->sessions.Contains(session)) {
    ++this->counters.dropped_messages;
    return;
  }
  if (!this->sessions.IncarnationOf(session) &&
      !std::holds_alternative<protocol::Hello>(message)) {
    this->EndSession(session, ResultCode::kBadFrame, now);
    return;
  }
  std::visit([&](const auto& typed) { this->On(session, typed, now); },
             message);
  this->AdvanceOrders(now);
}

void AgentCore::Implementation::OnSessionClosed(SessionId session,
                                                Instant now) {
  this->Expire(now);
  this->sessions.Close(session);
  this->FreeSession(session, now);
  this->AdvanceOrders(now);
}

void AgentCore::Implementation::OnEngineEvent(const engine::EngineEvent& event,
                                              Instant now) {
  this->Expire(now);
  std::visit([&](const auto& typed) { this->On(typed, now); }, event);
  this->AdvanceOrders(now);
}

void AgentCore::Implementation::OnManifest(
    std::shared_ptr<const manifest::Manifest> newest,
    Instant now) {
  this->Expire(now);
  if (newest == nullptr || (this->active_manifest != nullptr &&
                            newest->offset <= this->ManifestOffset())) {
    return;
  }
  this->active_manifest = std::move(newest);
  const manifest::Endpoint* endpoint =
      this->active_manifest->FindEndpoint(this->options.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  this->decode.SetBounds(*endpoint);
  this->prefill.SetBounds(*endpoint);
  this->calls.SetBounds(*endpoint);
  this->wanted_role = endpoint->role;
  this->leaves_pool = endpoint->leaving;
  if (std::optional<engine::Order> wanted =
          EngineOrders::WantedBy(*this->active_manifest, *endpoint)) {
    this->orders.SetWanted(std::move(*wanted), now);
    if (this->options.use_maintenance_queue) {
      this->maintenance_permission.SetPool(*this->active_manifest, *endpoint,
                                           now);
    }
    this->AdvanceOrders(now);
  }
  if (endpoint->leaving) {
    this->Drain(DrainState::Cause::kManifest, now);
  } else {
    this->drain.RevokeByManifest();
  }
}

void AgentCore::Implementation::OnMaintenanceRead(
    const Result<cluster::ILog::Read>& read,
    Instant now) {
  this->Expire(now);
  this->maintenance_permission.queue_client().OnRead(read, now);
  this->AdvanceOrders(now);
}

void AgentCore::Implementation::OnMaintenanceAppended(
    const Result<LogOffset>& appended,
    Instant now) {
  this->Expire(now);
  this->maintenance_permission.queue_client().OnAppended(appended, now);
  this->AdvanceOrders(now);
}

void AgentCore::Implementation::BeginDrain(Instant now) {
  this->Expire(now);
  this->Drain(DrainState::Cause::kProcess, now);
}

void AgentCore::Implementation::Expire(Instant now) {
  for (const SessionId session : this->sessions.Expire(now)) {
    ++this->counters.sessions_lapsed;
    this->outbox.Close(session, ResultCode::kHeartbeatLost);
    this->FreeSession(session, now);
  }
  this->decode.Expire(now);
  this->prefill.Expire(now);
  this->calls.Expire(now);
  this->attempts.Expire(now);
  if (this->audit.TakeDue(now)) {
    this->outbox.Execute(engine::ListHeld{});
  }
  if (this->drain.TakeGraceEnded(now)) {
    this->decode.EndAll(now);
    this->prefill.EndAll(now);
    this->calls.EndAll(now);
  }
  this->AdvanceOrders(now);
}

// State.

bool AgentCore::Implementation::Drained() const {
  return this->drain.active() && this->Idle();
}

Instant AgentCore::Implementation::NextTimer() const {
  return std::min({this->sessions.next_timer(), this->decode.next_timer(),
                   this->prefill.next_timer(), this->calls.next_timer(),
                   this->audit.next_timer(), this->drain.next_timer(),
                   this->orders.next_timer(),
                   this->maintenance_permission.queue_client().next_timer()});
}

protocol::EndpointLoad AgentCore::Implementation::Load(Instant now) const {
  protocol::EndpointLoad load;
  switch (this->options.role) {
    case EndpointRole::kDecode:
      this->decode.FillLoad(load, now);
      break;
    case EndpointRole::kPrefill:
      this->prefill.FillLoad(load, now);
      break;
    case EndpointRole::kPlain:
      this->calls.FillLoad(load);
      break;
  }
  load.leaving = this->drain.active();
  return load;
}

OrderStatus AgentCore::Implementation::Orders() const {
  const maintenance::MaintenanceQueueClient& queue_client =
      this->maintenance_permission.queue_client();
  OrderStatus status{.confirmed = this->orders.confirmed(),
                     .out = this->orders.out(),
                     .intent = this->orders.maintenance_intent(),
                     .appends = queue_client.appends()};
  if (const std::optional<std::size_t> rank = queue_client.Rank()) {
    status.members_ahead = *rank;
  }
  return status;
}

std::vector<AttemptId> AgentCore::Implementation::HeldAttempts() const {
  std::vector<AttemptId> all = this->decode.held();
  for (const auto& part : {this->prefill.held(), this->calls.held()}) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

std::vector<HeldAttempt> AgentCore::Implementation::Holdings(
    Instant now) const {
  std::vector<HeldAttempt> all;
  const auto add = [&](const AttemptId& attempt, HeldKind kind) {
    const Instant since = this->attempts.OpenSince(attempt).value_or(now);
    all.push_back({.attempt = attempt, .kind = kind, .age = now - since});
  };
  this->decode.ForEachHolding(add);
  this->prefill.ForEachHolding(add);
  this->calls.ForEachHolding(add);
  return all;
}

// Engine events.

void AgentCore::Implementation::On(const engine::PrefillDone& done,
                                   Instant now) {
  if (!this->prefill.OnPrefillDone(done, now)) {
    this->CountUnknown(false);
    if (!this->Holds(done.attempt)) {
      // No request will fetch its export.
      this->parts.Abort(done.attempt, now);
    }
  }
}

void AgentCore::Implementation::On(const engine::Text& text, Instant now) {
  this->CountUnknown(this->decode.OnText(text, now));
}

void AgentCore::Implementation::On(const engine::StreamDone& done,
                                   Instant now) {
  this->CountUnknown(this->decode.OnStreamDone(done, now));
}

void AgentCore::Implementation::On(const engine::CallDone& done, Instant now) {
  this->audit.NoteReleased(done.attempt, now);
  this->CountUnknown(this->calls.OnCallDone(done, now));
}

void AgentCore::Implementation::On(const engine::AttemptFailed& failed,
                                   Instant now) {
  this->audit.NoteReleased(failed.attempt, now);
  this->CountUnknown(this->decode.OnFailed(failed, now) ||
                     this->prefill.OnFailed(failed, now) ||
                     this->calls.OnFailed(failed, now));
}

void AgentCore::Implementation::On(const engine::Held& held, Instant now) {
  const auto owns = [this](const AttemptId& attempt) {
    return this->Holds(attempt);
  };
  for (const AttemptId& orphan : this->audit.OnHeld(held.attempts, owns, now)) {
    ++this->counters.orphans_aborted;
    this->parts.Abort(orphan, now);
  }
}

void AgentCore::Implementation::On(const engine::ListFailed&, Instant now) {
  this->audit.OnListFailed(now);
}

void AgentCore::Implementation::On(const engine::OrderDone& done, Instant now) {
  this->orders.OnOrderDone(done, now);
}

void AgentCore::Implementation::On(const engine::EngineState& state,
                                   Instant now) {
  this->orders.OnState(state, now);
  if (this->orders.confirmed() && this->Idle()) {
    this->options.role = this->wanted_role;
  }
}

// Release of attempts and sessions.

bool AgentCore::Implementation::Holds(const AttemptId& attempt) const {
  return this->decode.Holds(attempt) || this->prefill.Holds(attempt) ||
         this->calls.Holds(attempt);
}

void AgentCore::Implementation::CountUnknown(bool known) {
  this->counters.dropped_events += known ? 0 : 1;
}

void AgentCore::Implementation::Release(const AttemptId& attempt, Instant now) {
  this->attempts.CloseEnded(attempt, now);
  this->decode.Release(attempt, now);
  this->prefill.Release(attempt, now);
  this->calls.Release(attempt, now);
}

void AgentCore::Implementation::EndSession(SessionId session,
                                           ResultCode code,
                                           Instant now) {
  this->sessions.Close(session);
  this->outbox.Close(session, code);
  this->FreeSession(session, now);
}

void AgentCore::Implementation::FreeSession(SessionId session, Instant now) {
  // Without this, an entry that died keeps its streams running and its memory
  // reserved: the endpoint looks full while no client reads.
  if (!this->options.rules.clean_sessions) {
    return;
  }
  for (const AttemptId& attempt : this->attempts.OpenOf(session)) {
    this->Release(attempt, now);
  }
}

// Orders and drain.

void AgentCore::Implementation::AdvanceMaintenance(Instant now) {
  if (!this->options.use_maintenance_queue) {
    return;
  }
  // An endpoint that leaves its pool by the manifest is not a member: it needs
  // no place in the maintenance queue, and must not release the place under
  // which it may be out of service. An agent that only ends itself leaves its
  // endpoint in the pool, for a successor.
  const bool leaving = this->leaves_pool;
  const maintenance::MaintenanceIntent intent =
      leaving ? maintenance::MaintenanceIntent::kKeep
              : this->orders.maintenance_intent();
  if (intent == maintenance::MaintenanceIntent::kEnter) {
    this->maintenance_permission.NoteLoad(this->Load(now), now);
  } else {
    this->maintenance_permission.StopObserving();
  }
  maintenance::MaintenanceQueueClient& queue_client =
      this->maintenance_permission.queue_client();
  queue_client.SetIntent(intent, now);
  queue_client.OnTimer(now);
  for (maintenance::MaintenanceAction& action : queue_client.TakeActions()) {
    this->outbox.Submit(std::move(action));
  }
  const bool may_leave = intent == maintenance::MaintenanceIntent::kEnter &&
                         this->maintenance_permission.MayLeaveService(
                             this->Idle(), this->orders.out(), now);
  this->orders.SetMaintenanceGranted(leaving || may_leave, now);
}

void AgentCore::Implementation::AdvanceOrders(Instant now) {
  this->AdvanceMaintenance(now);
  if (std::optional<engine::EngineCommand> due =
          this->orders.TakeDue(this->Idle(), now)) {
    this->outbox.Execute(std::move(*due));
  }
}

bool AgentCore::Implementation::Idle() const {
  return this->decode.idle() && this->prefill.idle() && this->calls.idle();
}

void AgentCore::Implementation::Drain(DrainState::Cause cause, Instant now) {
  if (!this->drain.Begin(cause, now)) {
    return;
  }
  for (const SessionId session : this->sessions.Greeted()) {
    this->SendLeaving(session, now);
  }
}

void AgentCore::Implementation::SendLeaving(SessionId session, Instant now) {
  this->outbox.Send(
      session, protocol::Leaving{.grace = this->drain.GraceLeft(now)}, now);
}

LogOffset AgentCore::Implementation::ManifestOffset() const {
  return this->active_manifest == nullptr ? LogOffset()
                                          : this->active_manifest->offset;
}

}  // namespace acacialug::agent
