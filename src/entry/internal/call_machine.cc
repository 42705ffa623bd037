#include "entry/internal/call_machine.h"

#include <algorithm>
#include <utility>

#include "once/work_key.h"
#include "placement/types/hashing.h"

namespace acacialug::entry {
namespace {

// A latency counts for at most the target divided by this number. Otherwise a
// slow period would cause all calls to be refused, and no call would show that
// the period has ended.
constexpr int kLatencyDivisor = 2;
// How long a call waits for its ticket's home, and how often the home's session
// is checked.
constexpr Duration kHomeWaitTimeout = 5s;
constexpr Duration kHomeCheckInterval = 100ms;
// Time needed after a process stall to reopen a lapsed session, whose backoff
// is at most 1 s, and to send the query.
constexpr Duration kReconnectTime = 1500ms;

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

// The home of a call that may not be repeated is picked by its key, so that a
// second submission, on any entry, reaches the same ledger as the first.
placement::EndpointView* CallMachine::PickHome() const {
  const std::uint64_t key = placement::HashText(
      this->work.idempotency_key, placement::HashText(this->terms.caller.text));
  placement::EndpointView* home = nullptr;
  std::uint64_t home_weight = 0;
  for (placement::EndpointView* const view : this->context.fleet.Usable(
           this->terms.service->name, protocol::EndpointRole::kPlain)) {
    const std::uint64_t weight = placement::RendezvousWeight(key, view->Key());
    const bool tried = std::find(this->tried.begin(), this->tried.end(),
                                 view->Key()) != this->tried.end();
    if (!tried && (home == nullptr || weight > home_weight)) {
      home = view;
      home_weight = weight;
    }
  }
  return home;
}

bool CallMachine::Feasible(const placement::EndpointView& view,
                           Instant now) const {
  const Duration target = this->terms.latency_class->first_token;
  const Duration ahead = this->context.options.feasibility_counts_queue
                             ? std::min(view.WorkAhead(now), target)
                             : Duration::zero();
  const Duration own =
      std::min(FromSeconds(view.Latency()), target / kLatencyDivisor);
  return now + ahead + own <= this->terms.first_token_by;
}

void CallMachine::Dispatch(Instant now) {
  if (!this->idempotent && this->HasTicket()) {
    // The home is part of the ticket's value. It may hold the answer of an
    // earlier use even while no endpoint of the pool accepts new work.
    this->Activate();
    this->Claim({}, now);
    return;
  }
  placement::EndpointView* const view =
      this->idempotent ? this->Pick(now) : this->PickHome();
  if (view == nullptr) {
    this->tried.clear();
    return;
  }
  if (!this->maybe_run && !this->Feasible(*view, now)) {
    this->GiveUp(ResultCode::kDeadlineUnreachable, now);
    return;
  }
  this->Activate();
  this->tried.push_back(view->Key());
  if (this->idempotent) {
    this->Start(view->Id(), {}, now);
  } else {
    this->Claim(view->Id(), now);
  }
}

void CallMachine::Activate() {
  this->state = RequestState::kActive;
  if (!this->counted) {
    this->counted = true;
    this->service.limit.Begin();
  }
}

OnceSubmission CallMachine::Submission(const EndpointId& home) const {
  return {.request = this->terms.request,
          .caller = this->terms.caller,
          .service = this->terms.service->name,
          .idempotency_key = this->work.idempotency_key,
          .ticket = this->work.ticket,
          .fingerprint = once::FingerprintOf(this->work.call),
          .home = home,
          .home_agent = this->context.fleet.AgentOf(home),
          .deadline = this->terms.deadline};
}

void CallMachine::Claim(const EndpointId& home, Instant now) {
  const bool again = this->submission.has_value();
  this->submission = this->Submission(home);
  if (!this->context.options.rules.claim_before_dispatch &&
      !this->HasTicket()) {
    protocol::Once unclaimed{.kind = protocol::OnceKind::kTicket,
                             .fingerprint = this->submission->fingerprint,
                             .home = this->submission->home_agent};
    unclaimed.key_high = placement::HashText(this->work.idempotency_key);
    this->Start(home, unclaimed, now);
    return;
  }
  this->stage = CallStage::kClaiming;
  if (again) {
    this->context.once.OnRefused(*this->submission, now);
  } else {
    this->context.once.Submit(*this->submission, now);
  }
}

void CallMachine::Start(const EndpointId& home,
                        const protocol::Once& bound,
                        Instant now) {
  // After a process stall, messages that arrived in the meantime are read
  // before the timers run. Without this check the work would take effect for a
  // caller that has given up.
  if (now >= this->terms.deadline) {
    this->GiveUp(ResultCode::kDeadlineUnreachable, now);
    return;
  }
  // The agent may have been replaced, or its session lost, while the claim was
  // pending. Its ledger would then not know the claim.
  const bool current =
      this->idempotent || this->context.fleet.AgentOf(home) == bound.home;
  if (!current || !this->context.fleet.Open(home, now)) {
    if (this->HasTicket()) {
      this->AwaitHome(home, bound, now);
      return;
    }
    this->TryAnother(now);
    return;
  }
  this->number = AttemptNumber(this->number.value + 1);
  this->attempt = this->Attempt(this->number);
  this->endpoint = home;
  this->once = bound;
  this->stage = CallStage::kRunning;
  this->look_up_at = kNever;
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

// During a process stall the home could not be queried, so that time does not
// count.
Instant CallMachine::HomeWaitDeadline() const {
  return std::max(this->look_up_until,
                  this->context.no_timeout_before + kReconnectTime);
}

// A ticket's home that only lost its session is connected again. If its agent
// was replaced or it does not come back, the home and its ledger are lost.
void CallMachine::AwaitHome(const EndpointId& home,
                            const protocol::Once& bound,
                            Instant now) {
  if (this->stage != CallStage::kAwaitingHome) {
    this->look_up_until =
        std::min(now + kHomeWaitTimeout, this->terms.deadline);
  }
  const Incarnation agent = this->context.fleet.AgentOf(home);
  if ((agent != Incarnation() && agent != bound.home) ||
      now >= this->HomeWaitDeadline()) {
    this->Fail(ResultCode::kTicketInvalid, protocol::Outcome::kUnknown,
               Duration::zero(), now);
    return;
  }
  this->stage = CallStage::kAwaitingHome;
  this->maybe_run = true;  // by an earlier use
  this->endpoint = home;
  this->once = bound;
  this->look_up_at = now + kHomeCheckInterval;
  this->context.fleet.Attach(home, this->terms.request, now);
}

// ---- time and ends ----

Instant CallMachine::WakeAt() const {
  if (this->state == RequestState::kWaiting) {
    return this->resuming
               ? this->terms.deadline
               : std::min(this->WaitDeadline(), this->terms.first_token_by);
  }
  return std::min({this->terms.deadline, this->look_up_at,
                   this->stage == CallStage::kLookingUp
                       ? this->HomeWaitDeadline()
                       : kNever});
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
             now >= this->HomeWaitDeadline()) {
    this->GiveUp(ResultCode::kOutcomeUnknown, now);
  } else if (now >= this->look_up_at) {
    if (this->stage == CallStage::kAwaitingHome) {
      this->Start(this->endpoint, this->once, now);
    } else {
      this->LookUp(now);
    }
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
       this->stage == CallStage::kAwaitingHome ||
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
