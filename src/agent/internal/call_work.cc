#include "agent/internal/call_work.h"

#include <algorithm>
#include <utility>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

using protocol::OnceKind;
using protocol::Outcome;
using protocol::Phase;

constexpr double kTypicalWeight = 0.1;

bool MayRepeat(const protocol::Once& once) {
  return once.kind == OnceKind::kIdempotent;
}

// The report of a verdict that does not let a call run. kAnswered has a message
// of its own.
struct VerdictReport {
  ResultCode code;
  Outcome outcome;
};

VerdictReport ReportFor(OnceVerdict verdict) {
  switch (verdict) {
    case OnceVerdict::kStillRunning:
      return {ResultCode::kStillRunning, Outcome::kUnknown};
    case OnceVerdict::kAnswerGone:
      return {ResultCode::kAnswerGone, Outcome::kCompleted};
    case OnceVerdict::kSealed:
      return {ResultCode::kSuperseded, Outcome::kNotRun};
    case OnceVerdict::kKeyReused:
      return {ResultCode::kKeyReused, Outcome::kNotRun};
    case OnceVerdict::kWrongHome:
      return {ResultCode::kTicketInvalid, Outcome::kUnknown};
    case OnceVerdict::kTooOld:
      return {ResultCode::kKeyTooOld, Outcome::kUnknown};
    case OnceVerdict::kFull:
      return {ResultCode::kOutOfBounds, Outcome::kUnknown};
    default:
      return {ResultCode::kOutcomeUnknown, Outcome::kUnknown};
  }
}

}  // namespace

CallWork::CallWork(SharedParts& shared_parts)
    : parts(shared_parts),
      slots(shared_parts.options.slots),
      ledger({.home = shared_parts.options.incarnation,
              .window = shared_parts.options.once_window,
              .max_bytes = shared_parts.options.once_max_bytes,
              .max_keys = shared_parts.options.once_max_keys}) {}

void CallWork::OnStartCall(const protocol::StartCall& start,
                           bool may_run,
                           Instant now) {
  if (!this->PassesLedger(start, may_run, now)) {
    return;
  }
  const AttemptId& attempt = start.attempt;
  const bool full = this->running.size() >= this->slots;
  if (full && this->queue.size() >= this->parts.options.queue_limit) {
    this->ReleaseKey(start.once);
    this->parts.Refuse(attempt, Phase::kCall, ResultCode::kOverloaded,
                       this->WaitAhead() / 2, now);
    return;
  }
  if (full && this->WaitAhead() > start.start_within) {
    this->ReleaseKey(start.once);
    this->parts.Refuse(attempt, Phase::kCall, ResultCode::kDeadlineUnreachable,
                       this->WaitAhead() - start.start_within, now);
    return;
  }
  this->DropQueued(attempt);
  const std::uint64_t number = ++this->next_number;
  this->queue.emplace(number, Queued{.start = start, .arrived = now});
  this->queue_numbers[attempt] = number;
  this->latest_starts.Set(attempt, After(now, start.start_within));
  this->Dispatch(now);
}

void CallWork::ReleaseKey(const protocol::Once& once) {
  if (!MayRepeat(once)) {
    this->ledger.Release(once);
  }
}

bool CallWork::PassesLedger(const protocol::StartCall& start,
                            bool may_run,
                            Instant now) {
  const AttemptId& attempt = start.attempt;
  if (MayRepeat(start.once)) {
    if (!may_run) {
      this->parts.Refuse(attempt, Phase::kCall, ResultCode::kDraining, {}, now);
    }
    return may_run;
  }
  const OnceVerdict verdict = this->ledger.Begin(start.once, now);
  switch (verdict) {
    case OnceVerdict::kRun:
      if (!may_run) {
        this->ReleaseKey(start.once);
        this->parts.Refuse(attempt, Phase::kCall, ResultCode::kDraining, {},
                           now);
      }
      return may_run;
    case OnceVerdict::kAnswered:
      this->parts.Reply(
          attempt,
          protocol::CallAnswered{.attempt = attempt,
                                 .answer = *this->ledger.AnswerOf(start.once),
                                 .replayed = true},
          now);
      this->parts.attempts.CloseEnded(attempt, now);
      return false;
    case OnceVerdict::kSealed:
    case OnceVerdict::kWrongHome:
      this->parts.Refuse(attempt, Phase::kCall, ReportFor(verdict).code, {},
                         now);
      return false;
    case OnceVerdict::kFull:
      // The key was never seen and was not accepted: this submission did not
      // run.
      this->parts.Fail(attempt, Phase::kCall, ResultCode::kOutOfBounds,
                       Outcome::kNotRun, now);
      return false;
    default: {
      const VerdictReport report = ReportFor(verdict);
      this->parts.Fail(attempt, Phase::kCall, report.code, report.outcome, now);
      return false;
    }
  }
}

void CallWork::OnLookUp(SessionId session,
                        const protocol::LookUp& look_up,
                        Instant now) {
  const OnceVerdict verdict = this->ledger.LookUp(look_up.once, now);
  if (verdict == OnceVerdict::kAnswered) {
    this->parts.outbox.Send(
        session,
        protocol::CallAnswered{.attempt = look_up.attempt,
                               .answer = *this->ledger.AnswerOf(look_up.once),
                               .replayed = true},
        now);
    return;
  }
  const VerdictReport report = ReportFor(verdict);
  this->parts.outbox.Send(session,
                          protocol::Failed{.attempt = look_up.attempt,
                                           .phase = Phase::kCall,
                                           .code = report.code,
                                           .outcome = report.outcome},
                          now);
}

void CallWork::Dispatch(Instant now) {
  while (this->running.size() < this->slots && !this->queue.empty()) {
    Queued next = std::move(this->queue.begin()->second);
    const AttemptId attempt = next.start.attempt;
    this->DropQueued(attempt);
    const Instant deadline = After(next.arrived, next.start.finish_within);
    const Instant end_by = now + this->parts.options.call_limit;
    this->running.insert_or_assign(
        attempt,
        Running{.once = next.start.once, .started = now, .end_by = end_by});
    this->deadlines.Set(attempt, std::min(deadline, end_by));
    this->parts.outbox.Execute(engine::Call{
        .attempt = attempt, .request = std::move(next.start.request)});
  }
}

bool CallWork::DropQueued(const AttemptId& attempt) {
  const auto number = this->queue_numbers.find(attempt);
  if (number == this->queue_numbers.end()) {
    return false;
  }
  this->queue.erase(number->second);
  this->queue_numbers.erase(number);
  this->latest_starts.Remove(attempt);
  return true;
}

bool CallWork::OnCallDone(const engine::CallDone& done, Instant now) {
  const auto found = this->running.find(done.attempt);
  if (found == this->running.end()) {
    return false;
  }
  const Running call = found->second;
  this->running.erase(found);
  this->deadlines.Remove(done.attempt);
  this->typical_seconds +=
      kTypicalWeight * (Seconds(now - call.started) - this->typical_seconds);
  if (!MayRepeat(call.once)) {
    this->ledger.Complete(call.once, done.answer, now);
  }
  if (call.has_caller) {
    this->parts.Reply(
        done.attempt,
        protocol::CallAnswered{.attempt = done.attempt, .answer = done.answer},
        now);
    this->parts.attempts.CloseEnded(done.attempt, now);
  }
  this->Dispatch(now);
  return true;
}

bool CallWork::OnFailed(const engine::AttemptFailed& failed, Instant now) {
  const auto found = this->running.find(failed.attempt);
  if (found == this->running.end()) {
    return false;
  }
  const Running call = found->second;
  this->running.erase(found);
  this->deadlines.Remove(failed.attempt);
  const bool not_run = failed.outcome == Outcome::kNotRun;
  if (not_run) {
    this->ReleaseKey(call.once);
  } else if (!MayRepeat(call.once)) {
    this->ledger.SetUnknown(call.once, now);
  }
  if (call.has_caller) {
    this->parts.Fail(failed.attempt, Phase::kCall, failed.code,
                     not_run ? Outcome::kNotRun : Outcome::kUnknown, now);
  }
  this->Dispatch(now);
  return true;
}

void CallWork::Release(const AttemptId& attempt, Instant now) {
  const auto number = this->queue_numbers.find(attempt);
  if (number != this->queue_numbers.end()) {
    this->ReleaseKey(this->queue.at(number->second).start.once);
    this->DropQueued(attempt);
    return;
  }
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  Running& call = found->second;
  if (!MayRepeat(call.once)) {
    call.has_caller = false;
    this->deadlines.Set(attempt, call.end_by);
    return;
  }
  this->running.erase(found);
  this->deadlines.Remove(attempt);
  this->parts.Abort(attempt, now);
  this->Dispatch(now);
}

void CallWork::Expire(Instant now) {
  while (const std::optional<AttemptId> attempt =
             this->latest_starts.PopDue(now)) {
    this->ReleaseKey(
        this->queue.at(this->queue_numbers.at(*attempt)).start.once);
    this->DropQueued(*attempt);
    this->parts.Refuse(*attempt, Phase::kCall, ResultCode::kDeadlineUnreachable,
                       this->WaitAhead(), now);
  }
  while (const std::optional<AttemptId> attempt = this->deadlines.PopDue(now)) {
    this->OnDeadline(*attempt, now);
  }
}

void CallWork::OnDeadline(const AttemptId& attempt, Instant now) {
  Running& call = this->running.at(attempt);
  if (now >= call.end_by) {
    this->GiveUp(attempt, ResultCode::kEngineFailed, now);
    return;
  }
  this->parts.Fail(attempt, Phase::kCall, ResultCode::kDeadlineExceeded,
                   Outcome::kUnknown, now);
  this->Release(attempt, now);
}

void CallWork::GiveUp(const AttemptId& attempt, ResultCode code, Instant now) {
  const Running call = this->running.at(attempt);
  this->running.erase(attempt);
  this->deadlines.Remove(attempt);
  if (!MayRepeat(call.once)) {
    this->ledger.SetUnknown(call.once, now);
  }
  if (call.has_caller) {
    this->parts.Fail(attempt, Phase::kCall, code, Outcome::kUnknown, now);
  }
  this->parts.Abort(attempt, now);
  this->Dispatch(now);
}

void CallWork::EndAll(Instant now) {
  while (!this->queue.empty()) {
    const protocol::StartCall start = this->queue.begin()->second.start;
    this->ReleaseKey(start.once);
    this->DropQueued(start.attempt);
    this->parts.Refuse(start.attempt, Phase::kCall, ResultCode::kDraining, {},
                       now);
  }
  for (const AttemptId& attempt : this->held()) {
    this->GiveUp(attempt, ResultCode::kEndpointLost, now);
  }
}

void CallWork::SetBounds(const manifest::Endpoint& endpoint) {
  if (endpoint.slots != 0) {
    this->slots = endpoint.slots;
  }
}

void CallWork::FillLoad(protocol::EndpointLoad& load) const {
  load.running = static_cast<std::uint32_t>(this->running.size());
  load.limit = this->slots;
  load.queued = static_cast<std::uint32_t>(this->queue.size());
  load.next_slot_in =
      this->running.size() < this->slots ? Duration::zero() : this->WaitAhead();
  load.work_ahead = load.next_slot_in;
}

bool CallWork::Holds(const AttemptId& attempt) const {
  return this->running.contains(attempt) ||
         this->queue_numbers.contains(attempt);
}

std::vector<AttemptId> CallWork::held() const {
  std::vector<AttemptId> attempts;
  for (const auto& [number, queued] : this->queue) {
    attempts.push_back(queued.start.attempt);
  }
  for (const auto& [attempt, call] : this->running) {
    attempts.push_back(attempt);
  }
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

void CallWork::ForEachHolding(const HoldingVisitor& visit) const {
  for (const auto& [number, queued] : this->queue) {
    visit(queued.start.attempt, HeldKind::kQueuedCall);
  }
  for (const auto& [attempt, call] : this->running) {
    visit(attempt, HeldKind::kCall);
  }
}

Instant CallWork::next_timer() const {
  return std::min(this->latest_starts.next(), this->deadlines.next());
}

Duration CallWork::WaitAhead() const {
  const double rounds =
      static_cast<double>(this->queue.size() + 1) / std::max(1u, this->slots);
  return BoundedSeconds(rounds * this->typical_seconds);
}

}  // namespace acacialug::agent
