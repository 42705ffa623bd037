// The part of GenerationMachine that handles agent messages, caller events and
// timers; generation_machine.cc holds the steps that follow from them.
#include <algorithm>
#include <type_traits>
#include <variant>

#include "entry/internal/generation_machine.h"

namespace acacialug::entry {
namespace {

// Number of endpoints tried per dispatch, before the request returns to the
// queue.
constexpr std::size_t kReservesPerDispatch = 4;
constexpr std::size_t kPrefillsPerDispatch = 3;

// Failures that count against the endpoint that reports them.
bool IsEngineFault(ResultCode code) {
  return code == ResultCode::kEngineFailed ||
         code == ResultCode::kEngineUnavailable ||
         code == ResultCode::kEngineBadAnswer;
}

// Failures that any other endpoint would report as well.
bool IsRequestFault(ResultCode code) {
  return code == ResultCode::kInvalidParameter ||
         code == ResultCode::kMalformedJson;
}

template <typename Message>
constexpr bool kIsTaken = std::is_same_v<Message, protocol::Reserved> ||
                          std::is_same_v<Message, protocol::Prefilled> ||
                          std::is_same_v<Message, protocol::Chunk> ||
                          std::is_same_v<Message, protocol::Ended> ||
                          std::is_same_v<Message, protocol::Refused> ||
                          std::is_same_v<Message, protocol::Failed>;

}  // namespace

// A frame of an attempt other than the current one is a late answer to an
// abandoned attempt. Accepting it would mix the answers of two attempts, or
// start work on a released reservation. The frame is dropped, and its attempt
// is cancelled in case the first Cancel was lost. A duplicated answer can also
// refer to an attempt that is still held, which is not cancelled.
bool GenerationMachine::Matches(const Leg& leg,
                                LegStage stage,
                                const EndpointId& endpoint,
                                const AttemptId& attempt) const {
  if (!this->context.options.rules.check_attempts) {
    return !leg.Idle();
  }
  return !leg.Idle() && leg.stage == stage && leg.endpoint == endpoint &&
         leg.attempt == attempt;
}

bool GenerationMachine::Holds(const EndpointId& endpoint,
                              const AttemptId& attempt) const {
  const auto is_of = [&](const Leg& leg) {
    return !leg.Idle() && leg.endpoint == endpoint && leg.attempt == attempt;
  };
  return is_of(this->prefill) || is_of(this->decode);
}

Leg& GenerationMachine::LegOf(protocol::Phase phase) {
  return phase == protocol::Phase::kPrefill ? this->prefill : this->decode;
}

void GenerationMachine::OnMessage(const EndpointId& endpoint,
                                  const protocol::AgentToEntry& message,
                                  Instant now) {
  std::visit(
      [&](const auto& content) {
        if constexpr (kIsTaken<std::decay_t<decltype(content)>>) {
          const bool current = this->state == RequestState::kActive &&
                               this->Take(endpoint, content, now);
          if (!current) {
            ++this->context.counters.dropped_frames;
            if (!this->Holds(endpoint, content.attempt)) {
              this->context.fleet.Send(
                  endpoint, protocol::Cancel{.attempt = content.attempt}, now);
            }
          }
        }
      },
      message);
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Reserved& reserved,
                             Instant now) {
  if (!this->Matches(this->decode, LegStage::kRequested, endpoint,
                     reserved.attempt)) {
    return false;
  }
  this->decode.stage = LegStage::kReady;
  this->decode.timeout_at = kNever;
  if (placement::EndpointView* const view =
          this->context.fleet.View(endpoint)) {
    view->NoteRoundTrip(now - this->decode.requested_at);
  }
  if (this->prefill.Idle() && this->splits_prefill &&
      reserved.available_in > Duration::zero()) {
    // The slot is promised for later. The result of a prefill that finishes
    // long before that would be evicted while it waits.
    const placement::EndpointView* const view = this->PickPrefill(now);
    const Duration ready_in =
        view == nullptr ? Duration::zero() : this->PrefillReadyIn(*view, now);
    if (reserved.available_in > ready_in) {
      this->prefill_at = now + reserved.available_in - ready_in;
    }
  }
  this->Advance(now);
  return true;
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Prefilled& prefilled,
                             Instant now) {
  if (!this->Matches(this->prefill, LegStage::kRequested, endpoint,
                     prefilled.attempt)) {
    return false;
  }
  this->prefill.stage = LegStage::kReady;
  this->prefill.timeout_at = kNever;
  this->kv = prefilled.kv;
  this->export_until = now + prefilled.lifetime;
  const double expected = std::max(Seconds(this->prefill_expected), 1e-4);
  this->context.fleet.NoteSuccess(
      endpoint, Seconds(now - this->prefill.requested_at) / expected);
  this->service.prefill_picker.Learn(
      static_cast<double>(this->cached_expected),
      static_cast<double>(prefilled.usage.cached_tokens));
  if (this->prompt_tokens_counted == 0 && !this->stream.Begun()) {
    this->prompt_tokens_counted = prefilled.usage.prompt_tokens;
    this->cached_tokens = prefilled.usage.cached_tokens;
    this->service.tokens.Learn(this->prompt_bytes,
                               prefilled.usage.prompt_tokens);
  }
  this->Advance(now);
  return true;
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Chunk& chunk,
                             Instant now) {
  if (!this->Matches(this->decode, LegStage::kRunning, endpoint,
                     chunk.attempt)) {
    return false;
  }
  const bool first = !this->stream.AttemptBegun();
  this->stream.Take(chunk, now);
  if (first && this->stream.AttemptBegun()) {
    this->OnFirstChunk(now);
  }
  if (this->ended && this->stream.Complete()) {
    this->Finish(this->ended->reason, this->ended->usage, now);
  }
  return true;
}

// The KV cache was imported, so the export is released and the start has ended.
void GenerationMachine::OnFirstChunk(Instant now) {
  this->EndLeg(this->prefill, true, now);
  if (this->repeats == 0 && this->starting) {
    this->service.margin.Note(now - this->first_token_predicted);
    const double expected = std::max(Seconds(this->start_expected), 1e-4);
    this->starting = false;
    this->service.limit.EndMeasured(Seconds(now - this->start_began_at) /
                                    expected);
  }
  this->EndStart();
  this->service.NoteStarted(now);
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Ended& message,
                             Instant now) {
  if (!this->Matches(this->decode, LegStage::kRunning, endpoint,
                     message.attempt)) {
    return false;
  }
  this->stream.NoteEnd(message.chunks);
  const std::uint32_t tokens =
      this->stream.Tokens() - this->stream.EarlierTokens();
  if (tokens > 1 && !this->stream.Paused()) {
    this->context.fleet.NoteSuccess(
        endpoint, Seconds(now - this->stream.AttemptFirstPieceAt()) / tokens);
  }
  if (this->stream.Complete()) {
    this->Finish(message.reason, message.usage, now);
  } else {
    this->ended = message;  // chunks are still missing
  }
  return true;
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Refused& refused,
                             Instant now) {
  const bool of_prefill = refused.phase == protocol::Phase::kPrefill;
  Leg& leg = this->LegOf(refused.phase);
  const LegStage stage = of_prefill ? LegStage::kRequested : leg.stage;
  if (!this->Matches(leg, stage, endpoint, refused.attempt)) {
    return false;
  }
  this->EndLeg(leg, false, now);
  placement::EndpointView* const view = this->context.fleet.View(endpoint);
  if (!of_prefill && view != nullptr) {
    view->NoteFull(this->KvTokens(), refused.retry_after, now);
  }
  if (of_prefill) {
    this->OnPrefillRefused(refused.retry_after, now);
  } else {
    this->OnDecodeRefused(stage, refused.retry_after, now);
  }
  return true;
}

void GenerationMachine::OnDecodeRefused(LegStage stage,
                                        Duration hint,
                                        Instant now) {
  if (stage == LegStage::kRunning) {
    --this->running;  // this decode provably never ran
    this->Advance(now);
    return;
  }
  if (this->decode.tried.size() < kReservesPerDispatch && this->Reserve(now)) {
    return;
  }
  if (this->prefill.Idle()) {
    this->ReturnToQueue(std::max(hint, this->free_in), now);
  } else {
    this->ReserveAgainSoon(std::max(hint, this->free_in), now);
  }
}

void GenerationMachine::OnPrefillRefused(Duration hint, Instant now) {
  --this->running;  // this prefill provably never ran
  if (this->prefill.tried.size() >= kPrefillsPerDispatch ||
      !this->StartPrefill(now)) {
    this->ReturnToQueue(hint, now);
  }
}

bool GenerationMachine::Take(const EndpointId& endpoint,
                             const protocol::Failed& failed,
                             Instant now) {
  Leg& leg = this->LegOf(failed.phase);
  if (!this->Matches(leg, leg.stage, endpoint, failed.attempt)) {
    return false;
  }
  if (IsEngineFault(failed.code)) {
    this->context.fleet.NoteFailure(endpoint, now);
  }
  if (failed.code == ResultCode::kExportExpired &&
      failed.phase == protocol::Phase::kDecode) {
    this->EndLeg(this->prefill, true, now);
    this->prefill.tried.clear();
  }
  const bool undone = failed.outcome == protocol::Outcome::kNotRun;
  const bool counted = failed.phase == protocol::Phase::kPrefill ||
                       leg.stage == LegStage::kRunning;
  if (undone && counted && IsRequestFault(failed.code)) {
    this->EndLeg(leg, false, now);
    --this->running;  // this run provably never began
    if (this->running == 0) {
      this->Refuse(failed.code, this->service.RetryAfter(), now);
    } else {
      this->GiveUp(failed.code, now);
    }
    return true;
  }
  if (failed.phase == protocol::Phase::kPrefill) {
    if (undone) {
      this->EndLeg(leg, false, now);
      this->OnPrefillRefused(Duration::zero(), now);
    } else {
      this->OnPrefillLost(failed.code, now);
    }
  } else if (undone || leg.stage != LegStage::kRunning) {
    const LegStage stage = leg.stage;
    this->EndLeg(leg, false, now);
    this->OnDecodeRefused(stage, Duration::zero(), now);
  } else {
    this->OnDecodeLost(failed.code, now);
  }
  return true;
}

void GenerationMachine::OnDecodeLost(ResultCode code, Instant now) {
  const bool ran = this->decode.stage == LegStage::kRunning;
  const bool reusable = !this->stream.AttemptBegun() && this->ExportAlive(now);
  this->EndLeg(this->decode, true, now);
  if (ran && !reusable) {
    this->Rerun(code, now);
    return;
  }
  // Either only the reservation is lost, or the prefill's result still exists.
  if (!ran || this->MayRepeat(code, now)) {
    this->context.counters.prefills_reused += ran ? 1 : 0;
    this->Advance(now);
  }
}

void GenerationMachine::OnPrefillLost(ResultCode code, Instant now) {
  const bool done = this->prefill.stage == LegStage::kReady;
  this->EndLeg(this->prefill, true, now);
  if (code == ResultCode::kExportExpired) {
    this->prefill.tried.clear();  // it computed the prompt and caches it
  }
  if (this->decode.stage == LegStage::kRunning) {
    return;  // the import may be done already; the decode will show it
  }
  this->context.counters.prefills_lost += done ? 1 : 0;
  if (this->MayRepeat(code, now)) {
    this->Advance(now);  // under the same reservation, if there is one
  }
}

void GenerationMachine::OnEndpointLost(const EndpointId& endpoint,
                                       Instant now) {
  if (this->state != RequestState::kActive) {
    return;
  }
  if (!this->decode.Idle() && this->decode.endpoint == endpoint) {
    this->OnDecodeLost(ResultCode::kEndpointLost, now);
  } else if (!this->prefill.Idle() && this->prefill.endpoint == endpoint) {
    this->OnPrefillLost(ResultCode::kEndpointLost, now);
  }
}

void GenerationMachine::OnDelivered(std::uint64_t index, Instant now) {
  const auto through = this->stream.OnDelivered(index, now);
  if (through && this->decode.stage == LegStage::kRunning) {
    this->context.fleet.Send(
        this->decode.endpoint,
        protocol::Acknowledge{.attempt = this->decode.attempt,
                              .through = *through},
        now);
  }
}

// ---- time ----

Instant GenerationMachine::WakeAt() const {
  if (this->state == RequestState::kWaiting) {
    return this->resuming ? this->terms.deadline
                          : std::min(this->WaitDeadline(), this->LatestStart());
  }
  Instant at = std::min(this->terms.deadline,
                        this->DeferTimeout(this->stream.ReaderStallsAt()));
  if (this->decode.stage == LegStage::kRunning) {
    return std::min(at, this->DeferTimeout(this->stream.EngineStallsAt()));
  }
  if (this->prefill.stage == LegStage::kReady) {
    at = std::min(at, this->export_until);
  }
  return std::min({at, this->DeferTimeout(this->decode.timeout_at),
                   this->DeferTimeout(this->prefill.timeout_at),
                   this->reserve_again_at, this->prefill_at});
}

void GenerationMachine::OnTimer(Instant now) {
  if (now >= this->terms.deadline) {
    this->GiveUp(this->running == 0 ? ResultCode::kDeadlineUnreachable
                                    : ResultCode::kDeadlineExceeded,
                 now);
  } else if (this->state == RequestState::kWaiting) {
    this->OnWaitEnded(now);
  } else if (now >= this->DeferTimeout(this->stream.ReaderStallsAt())) {
    this->Fail(ResultCode::kSlowReader, protocol::Outcome::kUnknown,
               Duration::zero(), now);
  } else if (this->decode.stage == LegStage::kRunning) {
    if (now >= this->DeferTimeout(this->stream.EngineStallsAt())) {
      this->context.fleet.NoteFailure(this->decode.endpoint, now);
      this->OnDecodeLost(ResultCode::kEngineFailed, now);
    }
  } else {
    this->OnStartTimer(now);
  }
}

// Handles timers that fire while the legs are being started.
void GenerationMachine::OnStartTimer(Instant now) {
  if (now >= this->DeferTimeout(this->decode.timeout_at)) {
    this->context.fleet.NoteFailure(this->decode.endpoint, now);
    this->EndLeg(this->decode, true, now);
    this->OnDecodeRefused(LegStage::kRequested, Duration::zero(), now);
    return;
  }
  if (now >= this->DeferTimeout(this->prefill.timeout_at)) {
    this->context.fleet.NoteFailure(this->prefill.endpoint, now);
    this->OnPrefillLost(ResultCode::kEngineFailed, now);
    return;
  }
  if (now >= this->reserve_again_at) {
    this->reserve_again_at = kNever;
  }
  if (now >= this->prefill_at) {
    this->prefill_at = kNever;
  }
  this->Advance(now);
}

void GenerationMachine::OnWaitEnded(Instant now) {
  if (now < this->WakeAt()) {
    return;
  }
  const bool reachable =
      !this->context.fleet
           .Usable(this->terms.service->name, protocol::EndpointRole::kDecode)
           .empty();
  this->GiveUp(
      reachable ? ResultCode::kDeadlineUnreachable : ResultCode::kNoEndpoint,
      now);
}

}  // namespace acacialug::entry
