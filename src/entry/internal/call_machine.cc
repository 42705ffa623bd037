#include "entry/internal/call_machine.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "placement/types/hashing.h"

namespace acacialug::entry {
namespace {

constexpr std::size_t kEndpointsATurn = 4;
constexpr Duration kPause = 5ms;
// Between two questions of what became of a call.
constexpr Duration kLookUpInterval = 200ms;
// How long an agent that cannot be reached is asked, before the outcome is
// called unknown.
constexpr Duration kLookUpPatience = 5s;
// A latency counts for at most this part of the target: were it
// more, a slow time would refuse everything, and no call would ever show
// that it is over.
constexpr int kCountedPart = 2;

bool IsOnceAnswer(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 4000 && number < 5000;
}

std::uint64_t Fingerprint(const protocol::ServiceRequest& call) {
  std::uint64_t hash = placement::HashText(call.method);
  hash = placement::HashText(call.target, hash);
  return placement::HashText(call.body, hash);
}

}  // namespace

CallMachine::CallMachine(RequestContext shared,
                         RequestTerms fixed,
                         ServiceState& service_state,
                         const CallArrived& arrived,
                         bool idempotent_call)
    : RequestMachine(shared, std::move(fixed), service_state),
      work(arrived),
      idempotent(idempotent_call) {}

placement::EndpointView* CallMachine::Pick(Instant now) {
  return this->service.pick_call(
      this->context.fleet.Usable(this->terms.service->name,
                                 protocol::EndpointRole::kPlain),
      {.tried = this->tried, .now = now}, this->context.random);
}

bool CallMachine::Feasible(const placement::EndpointView& view,
                           Instant now) const {
  const Duration target = this->terms.latency_class->first_token;
  const Duration ahead = this->context.options.feasibility_counts_queue
                             ? std::min(view.WorkAhead(now), target)
                             : Duration::zero();
  const Duration own =
      std::min(FromSeconds(view.Latency()), target / kCountedPart);
  return now + ahead + own <= this->terms.first_token_by;
}

void CallMachine::Dispatch(Instant now) {
  placement::EndpointView* const view = this->Pick(now);
  if (view == nullptr) {
    this->tried.clear();
    return;
  }
  if (!this->maybe_run && !this->Feasible(*view, now)) {
    this->GiveUp(ResultCode::kDeadlineUnreachable, now);
    return;
  }
  this->state = RequestState::kActive;
  if (!this->counted) {
    this->counted = true;
    this->service.limit.Begin();
  }
  this->tried.push_back(view->Key());
  if (this->idempotent) {
    this->Start(view->Id(), {}, now);
  } else {
    this->Claim(*view, now);
  }
}

OnceSubmission CallMachine::Submission(
    const placement::EndpointView& view) const {
  return {.request = this->terms.request,
          .caller = this->terms.caller,
          .service = this->terms.service->name,
          .idempotency_key = this->work.idempotency_key,
          .ticket = this->work.ticket,
          .fingerprint = Fingerprint(this->work.call),
          .home = view.Id(),
          .home_agent = this->context.fleet.AgentOf(view.Id()),
          .deadline = this->terms.deadline};
}

void CallMachine::Claim(const placement::EndpointView& view, Instant now) {
  const bool again = this->submission.has_value();
  this->submission = this->Submission(view);
  if (!this->context.options.rules.claim_before_dispatch) {
    protocol::Once unclaimed{.kind = protocol::OnceKind::kTicket,
                             .fingerprint = this->submission->fingerprint,
                             .home = this->submission->home_agent};
    unclaimed.key_high = placement::HashText(this->work.idempotency_key);
    unclaimed.key_low = placement::HashText(this->work.ticket);
    this->Start(view.Id(), unclaimed, now);
    return;
  }
  this->stage = CallStage::kClaiming;
  if (again) {
    this->context.once.OnRefused(*this->submission, now);
  } else {
    this->context.once.Submit(*this->submission, now);
  }
}

void CallMachine::OnVerdict(const OnceVerdict& verdict, Instant now) {
  if (this->state != RequestState::kActive ||
      this->stage != CallStage::kClaiming) {
    return;
  }
  if (const auto* run = std::get_if<OnceRun>(&verdict)) {
    this->Start(run->home, run->once, now);
  } else if (const auto* look_up = std::get_if<OnceLookUp>(&verdict)) {
    this->once = look_up->once;
    this->endpoint = look_up->home;
    this->maybe_run = true;  // by the other submission
    this->look_up_until = std::min(now + kLookUpPatience, this->terms.deadline);
    this->LookUp(now);
  } else if (const auto* refuse = std::get_if<OnceRefuse>(&verdict)) {
    this->Fail(refuse->code, refuse->outcome, refuse->retry_after, now);
  }
}

void CallMachine::Start(const EndpointId& home,
                        const protocol::Once& bound,
                        Instant now) {
  // The agent may have been replaced, or its session lost, while the claim
  // was on its way: its ledger would not know the claim.
  const bool current =
      this->idempotent || this->context.fleet.AgentOf(home) == bound.home;
  if (!current || !this->context.fleet.Open(home, now)) {
    this->TryAnother(now);
    return;
  }
  this->number = AttemptNumber(this->number.value + 1);
  this->attempt = this->Attempt(this->number);
  this->endpoint = home;
  this->once = bound;
  this->stage = CallStage::kRunning;
  this->maybe_run = true;
  this->started_at = now;
  this->context.fleet.Attach(home, this->terms.request, now);
  if (placement::EndpointView* const view = this->context.fleet.View(home)) {
    view->NoteSent({}, now);
  }
  const Duration left = this->terms.deadline - now;
  const Duration on_time = this->terms.first_token_by - now;
  this->context.fleet.Send(
      home,
      protocol::StartCall{
          .attempt = this->attempt,
          .request = this->work.call,
          .once = bound,
          .start_within = on_time > Duration::zero() ? on_time : left,
          .finish_within = left},
      now);
}

// ---- what the agent tells ----

bool CallMachine::Matches(const EndpointId& where,
                          const AttemptId& which) const {
  if (!this->context.options.rules.check_attempts) {
    return true;
  }
  return (this->stage == CallStage::kRunning ||
          this->stage == CallStage::kLookingUp) &&
         this->endpoint == where && this->attempt == which;
}

void CallMachine::OnMessage(const EndpointId& where,
                            const protocol::AgentToEntry& message,
                            Instant now) {
  std::visit(
      [&](const auto& content) {
        using Message = std::decay_t<decltype(content)>;
        if constexpr (std::is_same_v<Message, protocol::CallAnswered> ||
                      std::is_same_v<Message, protocol::Refused> ||
                      std::is_same_v<Message, protocol::Failed>) {
          if (this->state == RequestState::kActive &&
              this->Matches(where, content.attempt)) {
            this->Take(content, now);
          } else {
            ++this->context.counters.dropped_frames;
          }
        }
      },
      message);
}

void CallMachine::Take(const protocol::CallAnswered& answered, Instant now) {
  const double latency = Seconds(now - this->started_at);
  if (!answered.replayed && this->stage == CallStage::kRunning) {
    this->context.fleet.NoteSuccess(this->endpoint, latency);
    if (this->counted) {
      this->counted = false;
      this->service.limit.EndMeasured(latency);
    }
  }
  this->context.budget.NoteSuccess();
  ++this->context.counters.completed;
  this->service.NoteBegun(now);
  this->Leave(now, false);
  this->Abandon(now);
  this->Emit(AnswerCall{.request = this->terms.request,
                        .answer = answered.answer,
                        .replayed = answered.replayed});
}

void CallMachine::Take(const protocol::Refused& refused, Instant now) {
  const bool looked_up = this->stage == CallStage::kLookingUp;
  this->Leave(now, false);
  this->maybe_run = this->lost_run;
  if (looked_up || IsOnceAnswer(refused.code)) {
    // The home sealed the key: it never ran and never will there.
    this->Refuse(refused.code, this->service.RetryAfter(), now);
    return;
  }
  this->TryAnother(now);
}

void CallMachine::Take(const protocol::Failed& failed, Instant now) {
  if (failed.code == ResultCode::kEngineFailed ||
      failed.code == ResultCode::kEngineUnavailable) {
    this->context.fleet.NoteFailure(this->endpoint, now);
  }
  if (failed.outcome == protocol::Outcome::kNotRun) {
    this->Leave(now, false);
    this->maybe_run = this->lost_run;
    if (IsOnceAnswer(failed.code)) {
      this->Refuse(failed.code, Duration::zero(), now);
      return;
    }
    this->TryAnother(now);
  } else if (failed.code == ResultCode::kStillRunning &&
             this->stage == CallStage::kLookingUp) {
    this->look_up_until = this->terms.deadline;  // it is known there
    this->LookUpLater(now);
  } else if (this->idempotent) {
    this->OnRunLost(failed.code, now);
  } else {
    this->Fail(
        IsOnceAnswer(failed.code) ? failed.code : ResultCode::kOutcomeUnknown,
        protocol::Outcome::kUnknown, Duration::zero(), now);
  }
}

// ---- loss ----

void CallMachine::OnEndpointLost(const EndpointId& lost, Instant now) {
  if (this->state != RequestState::kActive || lost != this->endpoint) {
    return;
  }
  if (this->stage == CallStage::kRunning) {
    this->OnRunLost(ResultCode::kEndpointLost, now);
  } else if (this->stage == CallStage::kLookingUp) {
    this->LookUpLater(now);
  }
}

void CallMachine::OnRunLost(ResultCode code, Instant now) {
  if (!this->idempotent) {
    // It may run now, or have run. Only its home can tell.
    this->look_up_until = std::min(now + kLookUpPatience, this->terms.deadline);
    this->LookUpLater(now);
    return;
  }
  this->Leave(now, true);
  this->lost_run = true;
  if (this->repeats + 1 >= this->context.options.max_attempts ||
      !this->context.budget.TryTake()) {
    ++this->context.counters.repeats_denied;
    this->GiveUp(this->repeats > 0 ? ResultCode::kRetriesExhausted : code, now);
    return;
  }
  ++this->repeats;
  ++this->context.counters.runs_repeated;
  this->TryAnother(now);
}

void CallMachine::LookUpLater(Instant now) {
  this->stage = CallStage::kLookingUp;
  this->look_up_at = now + kLookUpInterval;
  this->context.fleet.Attach(this->endpoint, this->terms.request, now);
}

void CallMachine::LookUp(Instant now) {
  this->LookUpLater(now);
  if (!this->context.fleet.Open(this->endpoint, now)) {
    return;
  }
  if (this->context.fleet.AgentOf(this->endpoint) != this->once.home) {
    // A replaced agent lost its ledger: nobody can ever tell.
    this->Fail(ResultCode::kOutcomeUnknown, protocol::Outcome::kUnknown,
               Duration::zero(), now);
    return;
  }
  this->number = AttemptNumber(this->number.value + 1);
  this->attempt = this->Attempt(this->number);
  ++this->context.counters.look_ups;
  this->context.fleet.Send(
      this->endpoint,
      protocol::LookUp{.attempt = this->attempt, .once = this->once}, now);
  this->look_up_at =
      now + this->context.options.reserve_timeout + kLookUpInterval;
}

void CallMachine::TryAnother(Instant now) {
  this->stage = CallStage::kPlacing;
  this->state = RequestState::kWaiting;
  if (this->repeats > 0) {
    this->resuming = true;
  }
  if (this->tried.size() >= kEndpointsATurn) {
    this->tried.clear();
    this->service.BlockUntil(now + kPause);
  }
  if (this->counted) {
    this->counted = false;
    this->service.limit.End();
  }
}

void CallMachine::Leave(Instant now, bool cancel) {
  if (cancel) {
    this->context.fleet.Send(this->endpoint,
                             protocol::Cancel{.attempt = this->attempt}, now);
  }
  this->context.fleet.Detach(this->endpoint, this->terms.request);
  this->look_up_at = kNever;
  this->stage = CallStage::kPlacing;
}

// ---- time and ends ----

Instant CallMachine::WakeAt() const {
  if (this->state == RequestState::kWaiting) {
    return this->resuming
               ? this->terms.deadline
               : std::min(this->PatienceEnd(), this->terms.first_token_by);
  }
  return std::min(
      {this->terms.deadline, this->look_up_at,
       this->stage == CallStage::kLookingUp ? this->look_up_until : kNever});
}

void CallMachine::OnTimer(Instant now) {
  if (this->state == RequestState::kWaiting && now >= this->WakeAt()) {
    const bool reachable =
        !this->context.fleet
             .Usable(this->terms.service->name, protocol::EndpointRole::kPlain)
             .empty();
    this->GiveUp(
        reachable ? ResultCode::kDeadlineUnreachable : ResultCode::kNoEndpoint,
        now);
  } else if (now >= this->terms.deadline) {
    this->GiveUp(this->idempotent ? ResultCode::kDeadlineExceeded
                                  : ResultCode::kOutcomeUnknown,
                 now);
  } else if (this->stage == CallStage::kLookingUp &&
             now >= this->look_up_until) {
    this->GiveUp(ResultCode::kOutcomeUnknown, now);
  } else if (now >= this->look_up_at) {
    this->LookUp(now);
  }
}

void CallMachine::GiveUp(ResultCode code, Instant now) {
  if (!this->maybe_run) {
    this->Refuse(IsNotRun(code) ? code : ResultCode::kDeadlineUnreachable,
                 this->service.RetryAfter(), now);
    return;
  }
  this->Fail(IsNotRun(code) ? ResultCode::kRetriesExhausted : code,
             protocol::Outcome::kUnknown, Duration::zero(), now);
}

void CallMachine::Abandon(Instant now) {
  if (this->state == RequestState::kActive &&
      (this->stage == CallStage::kRunning ||
       this->stage == CallStage::kLookingUp)) {
    this->Leave(now, this->stage == CallStage::kRunning);
  }
  if (this->submission) {
    this->context.once.Withdraw(this->terms.request, now);
    this->submission.reset();
  }
  if (this->counted) {
    this->counted = false;
    this->service.limit.End();
  }
  this->state = RequestState::kDone;
}

}  // namespace acacialug::entry
