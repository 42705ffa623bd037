// The part of CallMachine that handles messages of agents and verdicts of the
// coordinator.
#include <algorithm>
#include <type_traits>
#include <variant>

#include "entry/internal/call_machine.h"

namespace acacialug::entry {
namespace {

constexpr std::size_t kEndpointsPerDispatch = 4;
constexpr Duration kRetryPause = 5ms;
// Between two queries for the result of a call.
constexpr Duration kLookUpInterval = 200ms;
// How long an unreachable agent is queried before the outcome counts as
// unknown.
constexpr Duration kLookUpTimeout = 5s;

bool IsOnceAnswer(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 4000 && number < 5000;
}

}  // namespace

// The ticket itself names its home. If the home belongs to another service, the
// call would reach an endpoint that must not receive it. If no manifest lists
// the home any more, it is unknown whether an earlier use of the ticket ran
// there.
bool CallMachine::AcceptsHome(const EndpointId& home, Instant now) {
  const ServiceName* const served = this->context.fleet.ServiceOf(home);
  if (served == nullptr) {
    this->Fail(ResultCode::kTicketInvalid, protocol::Outcome::kUnknown,
               Duration::zero(), now);
    return false;
  }
  if (*served != this->terms.service->name) {
    this->Refuse(ResultCode::kTicketInvalid, Duration::zero(), now);
    return false;
  }
  return true;
}

void CallMachine::OnVerdict(const OnceVerdict& verdict, Instant now) {
  if (this->state != RequestState::kActive ||
      this->stage != CallStage::kClaiming) {
    return;
  }
  if (const auto* run = std::get_if<OnceRun>(&verdict)) {
    if (!this->HasTicket() || this->AcceptsHome(run->home, now)) {
      this->Start(run->home, run->once, now);
    }
  } else if (const auto* look_up = std::get_if<OnceLookUp>(&verdict)) {
    this->once = look_up->once;
    this->endpoint = look_up->home;
    this->maybe_run = true;  // by the other submission
    this->look_up_until = std::min(now + kLookUpTimeout, this->terms.deadline);
    this->LookUp(now);
  } else if (const auto* refuse = std::get_if<OnceRefuse>(&verdict)) {
    this->Fail(refuse->code, refuse->outcome, refuse->retry_after, now);
  }
}

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
  this->service.NoteStarted(now);
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
  if (refused.code == ResultCode::kTicketInvalid) {
    // The ticket's home is gone or has a new incarnation of its agent. An
    // earlier use of the ticket may have run there, which can no longer be
    // found out.
    this->Fail(refused.code, protocol::Outcome::kUnknown, Duration::zero(),
               now);
    return;
  }
  if (looked_up || IsOnceAnswer(refused.code)) {
    // The home sealed the key: the call never ran there and never will.
    this->Refuse(refused.code, this->service.RetryAfter(), now);
    return;
  }
  this->OnNotRun(refused.code, now);
}

void CallMachine::OnNotRun(ResultCode code, Instant now) {
  if (this->HasTicket()) {
    this->Refuse(code, this->service.RetryAfter(), now);
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
    this->OnNotRun(failed.code, now);
  } else if (failed.code == ResultCode::kStillRunning &&
             this->stage == CallStage::kLookingUp) {
    this->look_up_until = this->terms.deadline;  // the call is known there
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
  } else if (this->stage == CallStage::kAwaitingHome) {
    this->AwaitHome(this->endpoint, this->once, now);
  }
}

void CallMachine::OnRunLost(ResultCode code, Instant now) {
  if (!this->idempotent) {
    // The call may be running or may have run. Only its home knows.
    this->look_up_until = std::min(now + kLookUpTimeout, this->terms.deadline);
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
    // The agent was replaced and its ledger is lost, so the outcome cannot be
    // found out.
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
  if (this->tried.size() >= kEndpointsPerDispatch) {
    this->tried.clear();
    this->service.BlockUntil(now + kRetryPause);
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

}  // namespace acacialug::entry
