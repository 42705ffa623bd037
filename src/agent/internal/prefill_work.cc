#include "agent/internal/prefill_work.h"

#include <algorithm>
#include <utility>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

using protocol::Outcome;
using protocol::Phase;

constexpr std::size_t kMaxPrefixBlocks = 4096;
// A stall that is detected this late shows that this process was stalled; the
// engine then gets kStallDeferral for its events to be received.
constexpr Duration kProcessStall = 100ms;
constexpr Duration kStallDeferral = 200ms;
constexpr double kMinWorkTokens = 1;  // a cached prompt also takes a step

}  // namespace

PrefillWork::PrefillWork(SharedParts& shared_parts)
    : parts(shared_parts),
      slots(shared_parts.options.slots),
      forecast(shared_parts.options.initial_prefill_tokens_per_second),
      prefixes(kMaxPrefixBlocks),
      queue(shared_parts.options.queue_limit,
            PrefillQueue::HookOf(shared_parts.options.order)) {}

void PrefillWork::OnStartPrefill(const protocol::StartPrefill& start,
                                 Instant now) {
  const AttemptId& attempt = start.attempt;
  if (this->queue.full()) {
    this->parts.Refuse(attempt, Phase::kPrefill, ResultCode::kOverloaded,
                       this->WorkAhead(now) / 2, now);
    return;
  }
  const double cached =
      this->prefixes.CachedTokens(start.prefix, start.prompt_tokens);
  const double work = std::max(
      kMinWorkTokens, static_cast<double>(start.prompt_tokens) - cached);
  QueuedPrefill prefill{.work = work,
                        .deadline = After(now, start.finish_within)};
  prefill.start.generation.priority = start.generation.priority;
  const Duration own = this->forecast.TimeFor(work);
  const Duration ahead =
      this->forecast.Remaining(now) +
      this->forecast.TimeFor(this->queue.WorkBefore(prefill));
  prefill.latest_start = prefill.deadline - own;
  prefill.predicted = now + ahead + own;
  // A feasibility test that ignores the work ahead admits prefills that are
  // certain to be late. In deadline order those run first, miss their
  // deadlines, and take the engine from prefills that could still meet theirs:
  // goodput falls as load rises.
  const Instant expected = this->parts.options.feasibility_counts_queue
                               ? prefill.predicted + this->forecast.margin(now)
                               : now + own;
  if (expected > prefill.deadline) {
    this->parts.Refuse(attempt, Phase::kPrefill,
                       ResultCode::kDeadlineUnreachable,
                       expected - prefill.deadline, now);
    return;
  }
  prefill.start = start;
  this->queue.Add(std::move(prefill));
  this->Dispatch(now);
}

void PrefillWork::Dispatch(Instant now) {
  while (this->running.size() < this->slots && this->queue.size() != 0) {
    QueuedPrefill next = *this->queue.TakeNext();
    const AttemptId attempt = next.start.attempt;
    if (next.latest_start < now) {
      this->RefuseLate(attempt, now);
      continue;
    }
    const Duration own = this->forecast.TimeFor(next.work);
    this->forecast.OnDispatched(attempt, next.work, now);
    this->running.insert_or_assign(
        attempt, Running{.prefix = std::move(next.start.prefix),
                         .prompt_tokens = next.start.prompt_tokens,
                         .predicted = next.predicted});
    this->stalls.Set(attempt, now + this->parts.options.stall_timeout +
                                  2 * own + this->forecast.Remaining(now));
    this->parts.outbox.Execute(engine::Prefill{
        .attempt = attempt, .generation = std::move(next.start.generation)});
  }
}

void PrefillWork::RefuseLate(const AttemptId& attempt, Instant now) {
  this->parts.Refuse(attempt, Phase::kPrefill, ResultCode::kDeadlineUnreachable,
                     this->WorkAhead(now), now);
}

bool PrefillWork::OnPrefillDone(const engine::PrefillDone& done, Instant now) {
  const auto found = this->running.find(done.attempt);
  if (found == this->running.end()) {
    return false;
  }
  const Running& prefill = found->second;
  const protocol::Usage& usage = done.usage;
  // For an engine that reports no usage, the entry's estimate is the only
  // value.
  const double work =
      usage.prompt_tokens == 0
          ? static_cast<double>(prefill.prompt_tokens)
          : static_cast<double>(usage.prompt_tokens) -
                std::min(usage.prompt_tokens, usage.cached_tokens);
  this->forecast.OnFinished(done.attempt, std::max(kMinWorkTokens, work), now);
  this->forecast.OnError(now - prefill.predicted, now);
  this->prefixes.OnComputed(prefill.prefix, usage);
  this->EndRunning(done.attempt, now);
  const Duration lifetime = this->parts.options.export_lifetime;
  // A transfer that began within the lifetime may end after it, on a link that
  // others share: an abort at the lifetime would remove the export during the
  // transfer and waste the prefill. A stalled transfer is ended by the stall
  // timeout of the decode side.
  const Instant end = now + lifetime + this->parts.options.stall_timeout;
  this->exports.emplace(done.attempt, end);
  this->export_ends.Set(done.attempt, end);
  this->Dispatch(now);
  this->parts.Reply(done.attempt,
                    protocol::Prefilled{.attempt = done.attempt,
                                        .kv = done.kv,
                                        .usage = usage,
                                        .lifetime = lifetime},
                    now);
  return true;
}

bool PrefillWork::OnFailed(const engine::AttemptFailed& failed, Instant now) {
  if (!this->EndRunning(failed.attempt, now)) {
    return false;
  }
  this->parts.audit.NoteReleased(failed.attempt, now);
  this->parts.Fail(failed.attempt, Phase::kPrefill, failed.code, failed.outcome,
                   now);
  this->Dispatch(now);
  return true;
}

bool PrefillWork::EndRunning(const AttemptId& attempt, Instant now) {
  if (this->running.erase(attempt) == 0) {
    return false;
  }
  this->forecast.OnDropped(attempt, now);
  this->stalls.Remove(attempt);
  return true;
}

void PrefillWork::Release(const AttemptId& attempt, Instant now) {
  this->queue.Remove(attempt);
  const bool exported = this->exports.erase(attempt) != 0;
  this->export_ends.Remove(attempt);
  if (this->EndRunning(attempt, now) || exported) {
    this->parts.Abort(attempt, now);
  }
  this->Dispatch(now);
}

void PrefillWork::Expire(Instant now) {
  for (const QueuedPrefill& late : this->queue.Expire(now)) {
    this->RefuseLate(late.start.attempt, now);
  }
  this->ExpireStalled(now);
  // The engine evicts exports by itself; the single abort is for an engine that
  // does not, whose memory would stay in use.
  while (const std::optional<AttemptId> attempt =
             this->export_ends.PopDue(now)) {
    ++this->parts.counters.exports_lapsed;
    this->Release(*attempt, now);
    this->parts.attempts.CloseEnded(*attempt, now);
  }
}

// A prefill that ended while this process was stalled must not be aborted
// before the engine's socket was read. A stall that is detected late indicates
// this; it is deferred only once, so that a prefill in a stalled engine is
// abandoned too.
void PrefillWork::ExpireStalled(Instant now) {
  while (this->stalls.next() <= now) {
    const bool late = now - this->stalls.next() >= kProcessStall;
    const AttemptId attempt = *this->stalls.PopDue(now);
    if (late &&
        !std::exchange(this->running.at(attempt).stall_deferred, true)) {
      this->stalls.Set(attempt, now + kStallDeferral);
      continue;
    }
    this->parts.Fail(attempt, Phase::kPrefill, ResultCode::kEngineFailed,
                     Outcome::kUnknown, now);
    this->Release(attempt, now);
  }
}

void PrefillWork::EndAll(Instant now) {
  for (const AttemptId& attempt : this->queue.attempts()) {
    this->queue.Remove(attempt);
    this->parts.Refuse(attempt, Phase::kPrefill, ResultCode::kDraining, {},
                       now);
  }
  for (const AttemptId& attempt : this->held()) {
    if (this->running.contains(attempt)) {
      this->parts.Fail(attempt, Phase::kPrefill, ResultCode::kEndpointLost,
                       Outcome::kUnknown, now);
    }
    this->Release(attempt, now);
    this->parts.attempts.CloseEnded(attempt, now);
  }
}

void PrefillWork::SetBounds(const manifest::Endpoint& endpoint) {
  if (endpoint.slots != 0) {
    this->slots = endpoint.slots;
  }
}

void PrefillWork::FillLoad(protocol::EndpointLoad& load, Instant now) const {
  load.running = static_cast<std::uint32_t>(this->running.size());
  load.limit = this->slots;
  load.queued = static_cast<std::uint32_t>(this->queue.size());
  load.work_ahead = this->WorkAhead(now);
  load.next_slot_in =
      this->running.size() < this->slots ? Duration::zero() : load.work_ahead;
  load.prefill_tokens_per_second = this->forecast.tokens_per_second();
}

bool PrefillWork::Holds(const AttemptId& attempt) const {
  return this->running.contains(attempt) || this->exports.contains(attempt) ||
         this->queue.Contains(attempt);
}

std::vector<AttemptId> PrefillWork::held() const {
  std::vector<AttemptId> attempts = this->queue.attempts();
  for (const auto& [attempt, prefill] : this->running) {
    attempts.push_back(attempt);
  }
  for (const auto& [attempt, end] : this->exports) {
    attempts.push_back(attempt);
  }
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

void PrefillWork::ForEachHolding(const HoldingVisitor& visit) const {
  for (const AttemptId& attempt : this->queue.attempts()) {
    visit(attempt, HeldKind::kQueuedPrefill);
  }
  for (const auto& [attempt, prefill] : this->running) {
    visit(attempt, HeldKind::kPrefill);
  }
  for (const auto& [attempt, end] : this->exports) {
    visit(attempt, HeldKind::kExport);
  }
}

bool PrefillWork::idle() const {
  return this->running.empty() && this->exports.empty() &&
         this->queue.size() == 0;
}

Instant PrefillWork::next_timer() const {
  return std::min({this->queue.next_timer(), this->stalls.next(),
                   this->export_ends.next()});
}

Duration PrefillWork::WorkAhead(Instant now) const {
  return this->forecast.Remaining(now) +
         this->forecast.TimeFor(this->queue.total_work());
}

}  // namespace acacialug::agent
