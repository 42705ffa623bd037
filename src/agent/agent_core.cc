#include "agent/agent_core.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "agent/internal/attempt_table.h"
#include "agent/internal/bounded_time.h"
#include "agent/internal/call_work.h"
#include "agent/internal/decode_work.h"
#include "agent/internal/engine_audit.h"
#include "agent/internal/outbox.h"
#include "agent/internal/prefill_work.h"
#include "agent/internal/session_table.h"
#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

using protocol::EndpointRole;
using protocol::Phase;

class AgentCore::Implementation {
 public:
  Implementation(AgentOptions agent_options, RandomSource& random_source)
      : options(std::move(agent_options)),
        random(random_source),
        outbox([this](Instant now) { return this->Load(now); }),
        sessions({.lease = this->options.session_lease,
                  .expire = this->options.rules.expire_leases}),
        attempts({.check = this->options.rules.check_attempts}),
        audit({}),
        parts{this->options, this->outbox, this->attempts, this->audit,
              this->counters},
        decode(this->parts),
        prefill(this->parts),
        calls(this->parts) {}

  void Start(Instant now) {
    this->audit.Start(now);
    this->Expire(now);
  }

  // ---- inputs: each first lets end what has ended by `now`, since this
  // process may have been paused past a lease that it still believes in ----

  void OnSessionOpened(SessionId session, Instant now) {
    this->Expire(now);
    this->sessions.Open(session, now);
  }

  void OnMessage(SessionId session,
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
  }

  void OnSessionClosed(SessionId session, Instant now) {
    this->Expire(now);
    this->sessions.Close(session);
    this->FreeSession(session, now);
  }

  void OnEngineEvent(const engine::EngineEvent& event, Instant now) {
    this->Expire(now);
    std::visit([&](const auto& typed) { this->On(typed, now); }, event);
  }

  void OnTimer(Instant now) { this->Expire(now); }

  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now) {
    this->Expire(now);
    if (newest == nullptr ||
        (this->manifest_in_force != nullptr &&
         newest->offset <= this->manifest_in_force->offset)) {
      return;
    }
    this->manifest_in_force = std::move(newest);
    const manifest::Endpoint* endpoint =
        this->manifest_in_force->FindEndpoint(this->options.endpoint);
    if (endpoint == nullptr) {
      return;
    }
    this->SetBounds(*endpoint);
    if (endpoint->leaving && !this->drain_ends) {
      this->drained_by_manifest = true;
      this->StartDrain(now);
    } else if (!endpoint->leaving && this->drained_by_manifest) {
      // The operators took it back; a drain asked for by the process stays.
      this->drained_by_manifest = false;
      this->drain_ends.reset();
    }
  }

  void BeginDrain(Instant now) {
    this->Expire(now);
    this->drained_by_manifest = false;
    if (!this->drain_ends) {
      this->StartDrain(now);
    }
  }

  // ---- state ----

  bool Drained() const {
    return this->drain_ends && this->decode.idle() && this->prefill.idle() &&
           this->calls.idle();
  }

  Instant NextTimer() const {
    return std::min({this->sessions.next_timer(), this->decode.next_timer(),
                     this->prefill.next_timer(), this->calls.next_timer(),
                     this->audit.next_timer(), this->DrainTimer()});
  }

  protocol::EndpointLoad Load(Instant now) const {
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
    load.leaving = this->drain_ends.has_value();
    return load;
  }

  std::vector<AttemptId> HeldAttempts() const {
    std::vector<AttemptId> all = this->decode.held();
    for (const auto& part : {this->prefill.held(), this->calls.held()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }

  std::vector<AgentAction> TakeActions() { return this->outbox.Take(); }
  const AgentCounters& Counters() const { return this->counters; }
  LogOffset NewestManifestHeard() const { return this->newest_heard; }

 private:
  // ---- messages of an entry ----

  void On(SessionId session, const protocol::Hello& hello, Instant now) {
    const SessionTable::Greeting greeting =
        this->sessions.Greet(session, hello, now);
    for (const SessionId ended : greeting.ended) {
      this->outbox.Close(ended, ResultCode::kSuperseded);
      this->FreeSession(ended, now);
    }
    if (greeting.code != ResultCode::kOk) {
      this->EndSession(session, greeting.code, now);
      return;
    }
    this->newest_heard = std::max(this->newest_heard, hello.manifest);
    this->outbox.Send(
        session,
        protocol::Welcome{.endpoint = this->options.endpoint,
                          .incarnation = this->options.incarnation,
                          .role = this->options.role,
                          .domain = this->options.domain,
                          .manifest = this->ManifestOffset(),
                          .lease = this->options.session_lease},
        now);
    if (this->drain_ends) {
      this->SendLeaving(session, now);
    }
  }

  void On(SessionId session, const protocol::Renew& renew, Instant now) {
    if (!this->sessions.Renew(session, renew.incarnation, now)) {
      this->EndSession(session, ResultCode::kBadFrame, now);
      return;
    }
    this->newest_heard = std::max(this->newest_heard, renew.manifest);
    this->outbox.Send(
        session, protocol::Renewed{.manifest = this->ManifestOffset()}, now);
  }

  void On(SessionId session, const protocol::Reserve& reserve, Instant now) {
    const AttemptId& attempt = reserve.attempt;
    const std::optional<Admission> admission =
        this->Admit(session, attempt, Phase::kReserve, now);
    if (admission == Admission::kOpen ||
        (admission == Admission::kNew &&
         this->TakesNew(EndpointRole::kDecode, attempt, Phase::kReserve,
                        now))) {
      this->decode.OnReserve(reserve, now);
    }
  }

  void On(SessionId session, const protocol::StartPrefill& start, Instant now) {
    const AttemptId& attempt = start.attempt;
    if (this->AdmitOnce(session, attempt, Phase::kPrefill, now) &&
        this->TakesNew(EndpointRole::kPrefill, attempt, Phase::kPrefill, now)) {
      this->prefill.OnStartPrefill(start, now);
    }
  }

  void On(SessionId session, const protocol::StartDecode& start, Instant now) {
    const AttemptId& attempt = start.attempt;
    if (!this->Admit(session, attempt, Phase::kDecode, now)) {
      return;
    }
    // What has a reservation was let in before the drain began.
    if (!this->decode.Holds(attempt) &&
        !this->TakesNew(EndpointRole::kDecode, attempt, Phase::kDecode, now)) {
      return;
    }
    // Without the reservation nobody knows whether the engine has room: it
    // would preempt other streams, or let the prefill's export go stale.
    const bool may_reserve =
        this->options.reservation == ReservationPolicy::kNone ||
        !this->options.rules.reserve_before_prefill;
    this->decode.OnStartDecode(start, may_reserve, now);
  }

  void On(SessionId session, const protocol::StartCall& start, Instant now) {
    const AttemptId& attempt = start.attempt;
    if (!this->AdmitOnce(session, attempt, Phase::kCall, now) ||
        !this->Serves(EndpointRole::kPlain, attempt, Phase::kCall, now)) {
      return;
    }
    // While draining, a resubmission still learns what became of the call.
    this->calls.OnStartCall(start, !this->drain_ends.has_value(), now);
  }

  void On(SessionId session, const protocol::LookUp& look_up, Instant now) {
    this->calls.OnLookUp(session, look_up, now);
  }

  void On(SessionId session,
          const protocol::Acknowledge& acknowledge,
          Instant now) {
    if (this->IsOwn(session, acknowledge.attempt)) {
      this->decode.OnAcknowledge(acknowledge, now);
    }
  }

  void On(SessionId session, const protocol::Cancel& cancel, Instant now) {
    const AttemptId& attempt = cancel.attempt;
    if (!this->IsOwn(session, attempt)) {
      return;
    }
    const AttemptTable::Opening opening = this->attempts.Open(attempt, session);
    if (opening.replaced) {
      this->Release(*opening.replaced, now);
    }
    if (opening.admission == Admission::kNew) {
      // The cancel has overtaken its start, or repeats one long done.
      this->attempts.CloseNotRun(attempt, ResultCode::kSuperseded, now);
    }
    this->Release(attempt, now);
  }

  // ---- admission ----

  // Whether the session may speak of the attempt at all.
  bool IsOwn(SessionId session, const AttemptId& attempt) {
    const bool own = !this->options.rules.check_attempts ||
                     this->sessions.IncarnationOf(session) == attempt.entry;
    this->counters.dropped_messages += own ? 0 : 1;
    return own;
  }

  // kNew or kOpen; empty when the message was answered or dropped.
  std::optional<Admission> Admit(SessionId session,
                                 const AttemptId& attempt,
                                 Phase phase,
                                 Instant now) {
    if (!this->IsOwn(session, attempt)) {
      this->RefuseUnadmitted(session, attempt, phase, ResultCode::kSuperseded,
                             now);
      return std::nullopt;
    }
    const AttemptTable::Opening opening = this->attempts.Open(attempt, session);
    if (opening.replaced) {
      this->Release(*opening.replaced, now);
    }
    switch (opening.admission) {
      case Admission::kNew:
      case Admission::kOpen:
        return opening.admission;
      case Admission::kSuperseded:
        this->RefuseUnadmitted(session, attempt, phase, ResultCode::kSuperseded,
                               now);
        return std::nullopt;
      case Admission::kRefusedBefore:
        this->RefuseUnadmitted(session, attempt, phase, opening.code, now);
        return std::nullopt;
      case Admission::kOverBefore:
        break;
    }
    ++this->counters.dropped_messages;
    return std::nullopt;
  }

  // For phases with a single message: a second one is a repetition.
  bool AdmitOnce(SessionId session,
                 const AttemptId& attempt,
                 Phase phase,
                 Instant now) {
    const std::optional<Admission> admission =
        this->Admit(session, attempt, phase, now);
    if (admission == Admission::kOpen) {
      ++this->counters.dropped_messages;
    }
    return admission == Admission::kNew;
  }

  // Whether the endpoint has this role and a cleaned engine; refuses if not.
  bool Serves(EndpointRole role,
              const AttemptId& attempt,
              Phase phase,
              Instant now) {
    if (role != this->options.role) {
      this->parts.Refuse(attempt, phase, ResultCode::kWrongRole, {}, now);
      return false;
    }
    if (!this->audit.ready()) {
      this->parts.Refuse(attempt, phase, ResultCode::kNotReady,
                         Until(this->audit.next_timer(), now), now);
      return false;
    }
    return true;
  }

  bool TakesNew(EndpointRole role,
                const AttemptId& attempt,
                Phase phase,
                Instant now) {
    if (!this->Serves(role, attempt, phase, now)) {
      return false;
    }
    if (this->drain_ends) {
      this->parts.Refuse(attempt, phase, ResultCode::kDraining, {}, now);
      return false;
    }
    return true;
  }

  // The attempt table stays as it is: it knows the attempt better.
  void RefuseUnadmitted(SessionId session,
                        const AttemptId& attempt,
                        Phase phase,
                        ResultCode code,
                        Instant now) {
    ++this->counters.refused;
    this->outbox.Send(
        session,
        protocol::Refused{.attempt = attempt, .phase = phase, .code = code},
        now);
  }

  // ---- engine events ----

  void On(const engine::PrefillDone& done, Instant now) {
    if (!this->prefill.OnPrefillDone(done, now)) {
      // Nobody will fetch what it exported.
      ++this->counters.dropped_events;
      this->parts.Abort(done.attempt, now);
    }
  }

  void On(const engine::Text& text, Instant now) {
    this->CountUnknown(this->decode.OnText(text, now));
  }
  void On(const engine::StreamDone& done, Instant now) {
    this->CountUnknown(this->decode.OnStreamDone(done, now));
  }
  void On(const engine::CallDone& done, Instant now) {
    this->audit.NoteReleased(done.attempt, now);
    this->CountUnknown(this->calls.OnCallDone(done, now));
  }
  void On(const engine::AttemptFailed& failed, Instant now) {
    this->audit.NoteReleased(failed.attempt, now);
    this->CountUnknown(this->decode.OnFailed(failed, now) ||
                       this->prefill.OnFailed(failed, now) ||
                       this->calls.OnFailed(failed, now));
  }

  void On(const engine::Held& held, Instant now) {
    const auto owns = [this](const AttemptId& attempt) {
      return this->decode.Holds(attempt) || this->prefill.Holds(attempt) ||
             this->calls.Holds(attempt);
    };
    for (const AttemptId& orphan :
         this->audit.OnHeld(held.attempts, owns, now)) {
      ++this->counters.orphans_aborted;
      this->parts.Abort(orphan, now);
    }
  }
  void On(const engine::ListFailed&, Instant now) {
    this->audit.OnListFailed(now);
  }
  void On(const engine::OrderDone&, Instant) {}
  void On(const engine::EngineState&, Instant) {}

  void CountUnknown(bool known) { this->counters.dropped_events += !known; }

  // ---- ends ----

  void Expire(Instant now) {
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
    if (this->DrainTimer() <= now) {
      this->grace_over = true;
      this->decode.EndAll(now);
      this->prefill.EndAll(now);
      this->calls.EndAll(now);
    }
  }

  void EndSession(SessionId session, ResultCode code, Instant now) {
    this->sessions.Close(session);
    this->outbox.Close(session, code);
    this->FreeSession(session, now);
  }

  void FreeSession(SessionId session, Instant now) {
    if (!this->options.rules.clean_sessions) {
      return;
    }
    for (const AttemptId& attempt : this->attempts.OpenOf(session)) {
      this->Release(attempt, now);
    }
  }

  void Release(const AttemptId& attempt, Instant now) {
    this->attempts.CloseOver(attempt, now);
    this->decode.Release(attempt, now);
    this->prefill.Release(attempt, now);
    this->calls.Release(attempt, now);
  }

  // ---- drain and manifest ----

  void StartDrain(Instant now) {
    this->drain_ends = now + this->options.drain_grace;
    this->grace_over = false;
    for (const SessionId session : this->sessions.Greeted()) {
      this->SendLeaving(session, now);
    }
  }

  void SendLeaving(SessionId session, Instant now) {
    this->outbox.Send(session,
                      protocol::Leaving{.grace = Until(*this->drain_ends, now)},
                      now);
  }

  Instant DrainTimer() const {
    return this->drain_ends && !this->grace_over ? *this->drain_ends : kNever;
  }

  LogOffset ManifestOffset() const {
    return this->manifest_in_force == nullptr ? LogOffset()
                                              : this->manifest_in_force->offset;
  }

  void SetBounds(const manifest::Endpoint& endpoint) {
    if (endpoint.slots == 0) {
      return;  // the settings decide
    }
    this->decode.SetBounds(endpoint);
    this->prefill.SetSlots(endpoint.slots);
    this->calls.SetSlots(endpoint.slots);
  }

  AgentOptions options;
  RandomSource& random;
  AgentCounters counters;
  Outbox outbox;
  SessionTable sessions;
  AttemptTable attempts;
  EngineAudit audit;
  SharedParts parts;
  DecodeWork decode;
  PrefillWork prefill;
  CallWork calls;
  std::shared_ptr<const manifest::Manifest> manifest_in_force;
  LogOffset newest_heard;
  std::optional<Instant> drain_ends;  // set while draining
  bool drained_by_manifest = false;
  bool grace_over = false;
};

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

void AgentCore::OnEngineEvent(const engine::EngineEvent& event, Instant now) {
  this->implementation->OnEngineEvent(event, now);
}

void AgentCore::OnTimer(Instant now) {
  this->implementation->OnTimer(now);
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

LogOffset AgentCore::newest_manifest_heard() const {
  return this->implementation->NewestManifestHeard();
}

std::vector<AttemptId> AgentCore::held_attempts() const {
  return this->implementation->HeldAttempts();
}

}  // namespace acacialug::agent
