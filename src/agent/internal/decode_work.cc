#include "agent/internal/decode_work.h"

#include <algorithm>
#include <utility>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {
namespace {

using protocol::Outcome;
using protocol::Phase;

// A timer that fires this late shows that this process was paused, so a missing
// token in that time indicates nothing about the engine.
constexpr Duration kProcessStall = 1s;

// An engine is stalled when it makes no token for any of its streams for this
// number of usual intervals, and for at least kMinResponseTimeout.
constexpr std::int64_t kTimeoutIntervals = 10;
constexpr Duration kMinResponseTimeout = 300ms;
// A check for stalls that runs this late shows a stall of this process instead.
constexpr Duration kLateCheck = 100ms;

}  // namespace

DecodeWork::DecodeWork(SharedParts& shared_parts)
    : parts(shared_parts),
      memory({.kv_tokens = shared_parts.options.kv_tokens,
              .slots = shared_parts.options.slots,
              .policy = shared_parts.options.reservation,
              .reservation_limit = shared_parts.options.reservation_limit}),
      link({.bytes_per_second = shared_parts.options.link_bytes_per_second,
            .export_lifetime = shared_parts.options.export_lifetime}),
      pace(shared_parts.options.initial_token_interval) {}

void DecodeWork::OnReserve(const protocol::Reserve& reserve, Instant now) {
  const AttemptId& attempt = reserve.attempt;
  if (this->streams.contains(attempt)) {
    ++this->parts.counters.dropped_messages;
    return;
  }
  const bool repeated = this->memory.Holds(attempt);
  if (!repeated && this->RefuseWhileStalled(attempt, Phase::kReserve, now)) {
    return;
  }
  const DecodeMemory::Answer slot =
      this->memory.Reserve(attempt,
                           {.kv_tokens = reserve.kv_tokens,
                            .ready_in = reserve.prefill_ready_in,
                            .start_within = reserve.start_within},
                           now);
  if (!slot.granted) {
    this->parts.Refuse(attempt, Phase::kReserve, ResultCode::kNoDecodeMemory,
                       slot.retry_after, now);
    return;
  }
  if (!repeated) {
    const TransferLink::Answer window = this->link.Book(
        attempt, reserve.transfer_bytes,
        std::max(reserve.prefill_ready_in, slot.available_in), now);
    if (!window.granted) {
      this->memory.Release(attempt, now);
      this->parts.Refuse(attempt, Phase::kReserve, ResultCode::kLinkBusy,
                         window.retry_after, now);
      return;
    }
  }
  this->parts.Reply(
      attempt,
      protocol::Reserved{.attempt = attempt, .available_in = slot.available_in},
      now);
}

void DecodeWork::OnStartDecode(const protocol::StartDecode& start,
                               bool may_reserve,
                               Instant now) {
  const AttemptId& attempt = start.attempt;
  const bool waits =
      std::any_of(this->waiting.begin(), this->waiting.end(),
                  [&](const auto& other) { return other.attempt == attempt; });
  if (this->streams.contains(attempt) || waits) {
    ++this->parts.counters.dropped_messages;
    return;
  }
  if (this->RefuseWhileStalled(attempt, Phase::kDecode, now)) {
    return;
  }
  if (!this->memory.Holds(attempt)) {
    const DecodeMemory::Answer slot =
        may_reserve
            ? this->memory.Reserve(attempt, {.kv_tokens = start.kv_tokens}, now)
            : DecodeMemory::Answer{};
    if (!slot.granted) {
      this->parts.Refuse(attempt, Phase::kDecode, ResultCode::kNoDecodeMemory,
                         slot.retry_after, now);
      return;
    }
  }
  if (!this->StartNow(start, now)) {
    this->AddWaiting(start, now);
  }
}

Instant DecodeWork::AwaitingTokenSince(StreamScope scope) const {
  Instant latest = Instant::min();  // token of any stream
  Instant earliest = kNever;        // start of one that has none yet
  for (const auto& [attempt, stream] : this->streams) {
    if (stream.end || stream.flow.paused()) {
      continue;
    }
    if (stream.measured) {
      latest = std::max(latest, stream.progress);
    } else {
      earliest = std::min(earliest, stream.progress);
    }
  }
  if (latest == Instant::min()) {
    if (earliest == kNever || scope == StreamScope::kStreaming) {
      return kNever;
    }
    // Imports precede first tokens and take up to the exports' lifetime.
    latest = earliest + this->parts.options.export_lifetime;
  }
  return std::max(latest, this->last_stall_ended_at);
}

Duration DecodeWork::UnresponsiveFor(Instant now, StreamScope scope) const {
  const Instant since = this->AwaitingTokenSince(scope);
  const Duration bound =
      std::max(kMinResponseTimeout, kTimeoutIntervals * this->pace.interval());
  return since == kNever || now - since < bound ? Duration::zero()
                                                : now - since;
}

// Guards against an agent that refuses all work after its own stall, though its
// engine made tokens all the time. The agent resumes and reads its sessions
// before the engine's stream. A late check shows this; only time from that
// check on counts against the engine. Two checks in a row can't both count as
// late, or else no engine would ever count as unresponsive for an agent that is
// always late.
void DecodeWork::CheckForProcessStall(Instant now) {
  if (now < this->next_stall_check && this->next_stall_check != kNever) {
    return;
  }
  const bool late = this->next_stall_check != kNever &&
                    now - this->next_stall_check >= kLateCheck;
  this->process_stalled = late && !this->process_stalled;
  if (this->process_stalled) {
    this->last_stall_ended_at = now;
  }
  this->next_stall_check = this->AwaitingTokenSince(StreamScope::kAll) == kNever
                               ? kNever
                               : now + kMinResponseTimeout;
}

// Guards against requests that arrive while an engine is stalled, miss their
// first token and lose their prefills' exports by eviction, though other
// engines have free capacity. The engine stops, its memory shows free slots,
// and the entries fill them. Only a stream's own timeout showed the stall,
// seconds later.
bool DecodeWork::RefuseWhileStalled(const AttemptId& attempt,
                                    Phase phase,
                                    Instant now) {
  if (this->UnresponsiveFor(now, StreamScope::kAll) == Duration::zero()) {
    return false;
  }
  ++this->parts.counters.refused_while_stalled;
  this->memory.Release(attempt, now);
  this->link.Release(attempt);
  this->parts.Refuse(attempt, phase, ResultCode::kNoDecodeMemory,
                     kMinResponseTimeout, now);
  return true;
}

bool DecodeWork::StartNow(const protocol::StartDecode& start, Instant now) {
  const AttemptId& attempt = start.attempt;
  const Duration expected =
      this->pace.Remaining(0, start.generation.max_tokens);
  switch (
      this->memory.StartStream(attempt, start.kv_tokens, now + expected, now)) {
    case DecodeMemory::Start::kMustWait:
      return false;
    case DecodeMemory::Start::kNotReserved:
      this->memory.Release(attempt, now);
      this->link.Release(attempt);
      this->parts.Refuse(attempt, Phase::kDecode, ResultCode::kNoDecodeMemory,
                         {}, now);
      return true;
    case DecodeMemory::Start::kStarted:
      break;
  }
  this->link.Begin(attempt, now);
  this->streams.emplace(attempt,
                        Stream{.flow = StreamFlow(start.window_chunks),
                               .requested = start.generation.max_tokens,
                               .progress = now});
  this->stalls.Set(attempt, now + kMinResponseTimeout);
  this->CheckForProcessStall(now);
  this->parts.outbox.Execute(engine::Decode{
      .attempt = attempt, .generation = start.generation, .kv = start.kv});
  return true;
}

void DecodeWork::AddWaiting(const protocol::StartDecode& start, Instant now) {
  this->memory.KeepReservation(start.attempt);
  this->waiting.push_back(start);
  // A wait longer than the lifetime of the prefill's export would be useless.
  const bool has_export =
      start.kv.bytes != 0 || !start.kv.transfer_params.empty();
  this->wait_limits.Set(
      start.attempt,
      now + (has_export ? this->parts.options.export_lifetime
                        : this->parts.options.reservation_limit));
}

void DecodeWork::StartWaiting(Instant now) {
  while (!this->waiting.empty() && this->StartNow(this->waiting.front(), now)) {
    this->wait_limits.Remove(this->waiting.front().attempt);
    this->waiting.pop_front();
  }
}

void DecodeWork::OnAcknowledge(const protocol::Acknowledge& acknowledge,
                               Instant now) {
  const auto found = this->streams.find(acknowledge.attempt);
  if (found == this->streams.end()) {
    ++this->parts.counters.dropped_messages;
    return;
  }
  found->second.flow.Acknowledge(acknowledge.through);
  this->Flush(acknowledge.attempt, found->second, now);
}

bool DecodeWork::OnText(const engine::Text& text, Instant now) {
  const auto found = this->streams.find(text.attempt);
  if (found == this->streams.end() || found->second.end) {
    return false;
  }
  Stream& stream = found->second;
  this->Measure(stream, text.tokens, now);
  stream.flow.Add(text.text, text.tokens);
  this->memory.PredictEnd(
      text.attempt,
      now + this->pace.Remaining(stream.produced, stream.requested));
  this->Flush(text.attempt, stream, now);
  return true;
}

void DecodeWork::Measure(Stream& stream, std::uint32_t tokens, Instant now) {
  if (stream.measured) {
    this->pace.OnTokens(now - stream.progress, tokens);
  }
  stream.measured = true;
  stream.progress = now;
  stream.produced += tokens;
}

bool DecodeWork::OnStreamDone(const engine::StreamDone& done, Instant now) {
  const auto found = this->streams.find(done.attempt);
  if (found == this->streams.end() || found->second.end) {
    return false;
  }
  Stream& stream = found->second;
  this->pace.OnFinished(stream.produced, stream.requested);
  stream.end = protocol::Ended{.attempt = done.attempt,
                               .chunks = stream.flow.chunks(),
                               .reason = done.reason,
                               .usage = done.usage};
  this->FreeEngine(done.attempt, now);
  this->Flush(done.attempt, stream, now);
  this->StartWaiting(now);
  return true;
}

bool DecodeWork::OnFailed(const engine::AttemptFailed& failed, Instant now) {
  const auto found = this->streams.find(failed.attempt);
  if (found == this->streams.end() || found->second.end) {
    return false;
  }
  this->FreeEngine(failed.attempt, now);
  this->streams.erase(found);
  this->parts.Fail(failed.attempt, Phase::kDecode, failed.code, failed.outcome,
                   now);
  this->StartWaiting(now);
  return true;
}

void DecodeWork::Flush(const AttemptId& attempt, Stream& stream, Instant now) {
  for (StreamFlow::Chunk& chunk : stream.flow.TakeSendable()) {
    this->parts.Reply(attempt,
                      protocol::Chunk{.attempt = attempt,
                                      .sequence = chunk.sequence,
                                      .tokens = chunk.tokens,
                                      .text = std::move(chunk.text)},
                      now);
  }
  if (stream.end) {
    if (stream.flow.nothing_waits()) {
      this->parts.Reply(attempt, *stream.end, now);
      this->parts.attempts.CloseEnded(attempt, now);
      this->streams.erase(attempt);
    }
    return;
  }
  const std::optional<bool> pause = stream.flow.TakePauseChange();
  if (!pause) {
    return;
  }
  this->parts.outbox.Execute(
      engine::SetPaused{.attempt = attempt, .paused = *pause});
  // While paused the engine owes no token, and the first interval afterwards
  // measures the reader's pace instead of the engine's.
  stream.measured = false;
  stream.progress = now;
  if (*pause) {
    this->stalls.Remove(attempt);
  } else {
    this->stalls.Set(attempt, now + this->parts.options.stall_timeout);
  }
}

void DecodeWork::FreeEngine(const AttemptId& attempt, Instant now) {
  this->memory.Release(attempt, now);
  this->link.Release(attempt);
  this->stalls.Remove(attempt);
  this->parts.audit.NoteReleased(attempt, now);
}

void DecodeWork::Release(const AttemptId& attempt, Instant now) {
  const auto found = this->streams.find(attempt);
  if (found != this->streams.end()) {
    if (!found->second.end) {
      this->parts.Abort(attempt, now);
    }
    this->streams.erase(found);
  }
  std::erase_if(this->waiting,
                [&](const auto& start) { return start.attempt == attempt; });
  this->wait_limits.Remove(attempt);
  this->stalls.Remove(attempt);
  this->memory.Release(attempt, now);
  this->link.Release(attempt);
  this->StartWaiting(now);
}

void DecodeWork::Expire(Instant now) {
  this->CheckForProcessStall(now);
  for (const AttemptId& attempt : this->memory.Expire(now)) {
    ++this->parts.counters.reservations_lapsed;
    this->link.Release(attempt);
    this->parts.attempts.CloseNotRun(attempt, ResultCode::kNoDecodeMemory, now);
  }
  this->ExpireWaiting(now);
  this->ExpireStalled(now);
}

void DecodeWork::ExpireWaiting(Instant now) {
  while (const std::optional<AttemptId> attempt =
             this->wait_limits.PopDue(now)) {
    this->parts.Refuse(*attempt, Phase::kDecode, ResultCode::kNoDecodeMemory,
                       this->memory.NextSlotIn(now), now);
    this->Release(*attempt, now);
  }
}

void DecodeWork::ExpireStalled(Instant now) {
  while (this->stalls.next() <= now) {
    const Instant due = this->stalls.next();
    const AttemptId attempt = *this->stalls.PopDue(now);
    Stream& stream = this->streams.at(attempt);
    if (now - due >= kProcessStall) {
      stream.progress = now;
    }
    const Instant stalls_at =
        stream.progress + this->parts.options.stall_timeout;
    if (stalls_at > now && !this->StartsInStalledEngine(stream, due, now)) {
      this->stalls.Set(attempt,
                       stream.produced > 0
                           ? stalls_at
                           : std::min(stalls_at, now + kMinResponseTimeout));
      continue;
    }
    ++this->parts.counters.streams_stalled;
    this->parts.Fail(attempt, Phase::kDecode, ResultCode::kEngineFailed,
                     Outcome::kUnknown, now);
    this->Release(attempt, now);
  }
}

// Guards against requests that wait for a stalled engine because their stream
// was started just before the stall, though their exports are alive and other
// engines have free capacity. The timeout of a stream is longer than the
// lifetime of an export.
bool DecodeWork::StartsInStalledEngine(const Stream& stream,
                                       Instant due,
                                       Instant now) const {
  return stream.produced == 0 && (now - due < kLateCheck) &&
         this->UnresponsiveFor(now, StreamScope::kStreaming) > Duration::zero();
}

void DecodeWork::EndAll(Instant now) {
  for (const protocol::StartDecode& start : std::exchange(this->waiting, {})) {
    this->parts.Refuse(start.attempt, Phase::kDecode, ResultCode::kDraining, {},
                       now);
    this->Release(start.attempt, now);
  }
  for (const AttemptId& attempt : this->held()) {
    if (this->streams.contains(attempt)) {
      this->parts.Fail(attempt, Phase::kDecode, ResultCode::kEndpointLost,
                       Outcome::kUnknown, now);
    } else {
      this->parts.Refuse(attempt, Phase::kReserve, ResultCode::kDraining, {},
                         now);
    }
    this->Release(attempt, now);
  }
  this->streams.clear();  // ended in the engine, unread by the reader
}

void DecodeWork::SetBounds(const manifest::Endpoint& endpoint) {
  const auto given = [](auto value, auto current) {
    return value != 0 ? value : current;
  };
  this->memory.SetBounds(given(endpoint.kv_tokens, this->memory.total_tokens()),
                         given(endpoint.slots, this->memory.slots()));
  if (endpoint.link_bytes_per_second != 0) {
    this->link.SetRate(endpoint.link_bytes_per_second);
  }
}

void DecodeWork::FillLoad(protocol::EndpointLoad& load, Instant now) const {
  load.free_kv_tokens = this->memory.free_tokens();
  load.total_kv_tokens = this->memory.total_tokens();
  load.running = this->memory.running();
  load.limit = this->memory.slots();
  load.queued = this->memory.reserved();
  load.next_slot_in = this->memory.NextSlotIn(now);
  load.token_interval = this->pace.interval();
}

bool DecodeWork::Holds(const AttemptId& attempt) const {
  return this->memory.Holds(attempt);
}

std::vector<AttemptId> DecodeWork::held() const {
  return this->memory.held();
}

void DecodeWork::ForEachHolding(const HoldingVisitor& visit) const {
  for (const AttemptId& attempt : this->memory.held()) {
    visit(attempt, this->streams.contains(attempt) ? HeldKind::kStream
                                                   : HeldKind::kReservation);
  }
}

bool DecodeWork::idle() const {
  return this->streams.empty() && this->memory.empty();
}

Instant DecodeWork::next_timer() const {
  return std::min({this->memory.next_timer(), this->wait_limits.next(),
                   this->stalls.next(), this->next_stall_check});
}

}  // namespace acacialug::agent
