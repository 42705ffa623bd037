#include "entry/internal/generation_machine.h"

#include <algorithm>
#include <utility>

#include "placement/prefix_hasher.h"

namespace acacialug::entry {
namespace {

// Bounds of the wait after all endpoints refused; the lower bound applies when
// they gave no retry advice.
constexpr Duration kMinPause = 2ms;
constexpr Duration kMaxPause = 50ms;

}  // namespace

GenerationMachine::GenerationMachine(RequestContext shared,
                                     RequestTerms fixed,
                                     ServiceState& service_state,
                                     const GenerationArrived& arrived)
    : RequestMachine(shared, std::move(fixed), service_state),
      work(arrived),
      prompt_bytes(arrived.prompt_text.size()),
      splits_prefill(
          this->context.fleet.Members(this->terms.service->name,
                                      protocol::EndpointRole::kPrefill) > 0),
      prefix(placement::HashPrefix(this->work.generation.model,
                                   arrived.prompt_text,
                                   this->terms.service->piece_tokens)),
      stream(this->terms.request,
             this->context.options,
             this->context.actions) {
  this->work.prompt_text = {};
  if (this->work.generation.max_tokens == 0) {
    this->work.generation.max_tokens = this->terms.service->default_max_tokens;
  }
  this->work.generation.priority = this->terms.latency_class->priority;
}

// ---- legs ----

void GenerationMachine::BeginLeg(Leg& leg,
                                 const EndpointId& endpoint,
                                 Instant now) {
  // Both legs of one try share an attempt number. A leg that is tried again
  // takes a new number, which supersedes the old one.
  if (leg.last_number == this->number) {
    this->number = AttemptNumber(this->number.value + 1);
  }
  leg.last_number = this->number;
  leg.stage = LegStage::kRequested;
  leg.endpoint = endpoint;
  leg.attempt = this->Attempt(this->number);
  leg.requested_at = now;
  this->context.fleet.Attach(endpoint, this->terms.request, now);
}

void GenerationMachine::EndLeg(Leg& leg, bool cancel, Instant now) {
  if (leg.Idle()) {
    return;
  }
  if (cancel) {
    this->context.fleet.Send(leg.endpoint,
                             protocol::Cancel{.attempt = leg.attempt}, now);
  }
  this->context.fleet.Detach(leg.endpoint, this->terms.request);
  leg.stage = LegStage::kNone;
  leg.timeout_at = kNever;
}

void GenerationMachine::BeginStart(Instant now) {
  if (!this->starting) {
    this->starting = true;
    this->start_began_at = now;
    this->service.limit.Begin();
  }
}

void GenerationMachine::EndStart() {
  if (this->starting) {
    this->starting = false;
    this->service.limit.End();
  }
}

// ---- steps ----

void GenerationMachine::Dispatch(Instant now) {
  if (!this->Feasible(now)) {
    this->GiveUp(ResultCode::kDeadlineUnreachable, now);
    return;
  }
  const bool begun =
      this->ReservesFirst() ? this->Reserve(now) : this->StartPrefill(now);
  if (begun) {
    this->state = RequestState::kActive;
    this->BeginStart(now);
    return;
  }
  this->decode.tried.clear();
  this->prefill.tried.clear();
  this->PauseQueue(this->free_in, now);
}

void GenerationMachine::Advance(Instant now) {
  if (this->state != RequestState::kActive ||
      this->decode.stage == LegStage::kRunning) {
    return;
  }
  if (this->prefill.stage == LegStage::kReady && !this->ExportAlive(now)) {
    this->OnPrefillLost(ResultCode::kExportExpired, now);
    return;
  }
  if (this->prefill.Idle() && !this->ReservesFirst()) {
    this->EndLeg(this->decode, true, now);
    if (!this->StartPrefill(now)) {
      this->ReturnToQueue(kMinPause, now);
    }
    return;
  }
  const bool prefilled =
      this->prefill.stage == LegStage::kReady || !this->splits_prefill;
  if (this->decode.Idle()) {
    const bool due = (this->ReservesFirst() || prefilled) &&
                     this->reserve_again_at == kNever;
    if (!due || this->Reserve(now)) {
      return;
    }
    if (this->prefill.Idle()) {
      this->ReturnToQueue(this->free_in, now);
    } else {
      this->ReserveAgainSoon(this->free_in, now);
    }
    return;
  }
  if (this->decode.stage != LegStage::kReady) {
    return;
  }
  if (prefilled) {
    this->StartDecode(now);
  } else if (this->prefill.Idle() && this->prefill_at == kNever &&
             !this->StartPrefill(now)) {
    this->ReturnToQueue(kMinPause, now);
  }
}

bool GenerationMachine::Reserve(Instant now) {
  placement::EndpointView* const view = this->PickDecode(now);
  if (view == nullptr) {
    this->free_in = kMinPause;
    return false;
  }
  this->free_in = this->SlotWait(*view, now);
  // A reservation requested now would be refused, with one exception: an export
  // that is about to be evicted may get a transfer window that other requests
  // were refused.
  const bool may_reserve_early =
      this->ExportAlive(now) && view->HasCapacity(this->KvTokens());
  if (this->free_in > Duration::zero() && !may_reserve_early) {
    return false;
  }
  Duration ready_in = this->PrefillLeft(now);
  if (this->prefill.Idle() && this->splits_prefill) {
    const placement::EndpointView* const prefill_view = this->PickPrefill(now);
    if (prefill_view == nullptr) {
      this->free_in = kMinPause;
      return false;  // no prefill endpoint: hold no decode memory
    }
    ready_in = this->PrefillReadyIn(*prefill_view, now);
  }
  this->reserve_again_at = kNever;
  this->BeginLeg(this->decode, view->Id(), now);
  this->decode.timeout_at = now + this->context.options.reserve_timeout;
  this->decode.tried.push_back(view->Key());
  view->NoteSent({.kv_tokens = this->KvTokens()}, now);
  this->context.fleet.Send(
      view->Id(),
      protocol::Reserve{.attempt = this->decode.attempt,
                        .kv_tokens = this->KvTokens(),
                        .transfer_bytes = this->TransferBytes(),
                        .prefill_ready_in = ready_in,
                        .start_within = this->TimeToFirstToken(now),
                        .priority = this->work.generation.priority},
      now);
  return true;
}

bool GenerationMachine::StartPrefill(Instant now) {
  placement::EndpointView* const view = this->PickPrefill(now);
  if (view == nullptr) {
    return false;
  }
  this->prefill_expected = this->PrefillReadyIn(*view, now);
  this->cached_expected = this->CachedTokens(*view, now);
  const Duration compute =
      view->PrefillTime(this->PromptTokens() - this->cached_expected);
  const Duration finish_within = this->TimeToFirstToken(now);
  this->BeginLeg(this->prefill, view->Id(), now);
  this->prefill.timeout_at =
      now + this->prefill_expected + this->context.options.stall_timeout;
  this->prefill.tried.push_back(view->Key());
  ++this->running;
  view->NoteSent({.prefill_time = compute}, now);
  this->service.prefill_picker.NoteSent(this->prefix, *view);
  this->context.fleet.Send(
      view->Id(),
      protocol::StartPrefill{.attempt = this->prefill.attempt,
                             .generation = this->RemainingWork(),
                             .prefix = this->prefix,
                             .prompt_tokens = this->PromptTokens(),
                             .finish_within = finish_within},
      now);
  return true;
}

void GenerationMachine::StartDecode(Instant now) {
  this->decode.stage = LegStage::kRunning;
  this->decode.timeout_at = kNever;
  ++this->running;
  this->ended.reset();
  this->stream.BeginAttempt(now);
  this->context.fleet.Send(
      this->decode.endpoint,
      protocol::StartDecode{
          .attempt = this->decode.attempt,
          .generation = this->RemainingWork(),
          .kv = this->splits_prefill ? this->kv : protocol::KvHandle(),
          .kv_tokens = this->KvTokens(),
          .window_chunks = this->context.options.window_chunks},
      now);
}

void GenerationMachine::ReserveAgainSoon(Duration hint, Instant now) {
  this->decode.tried.clear();
  this->reserve_again_at = now + std::clamp(hint, kMinPause, kMaxPause);
}

void GenerationMachine::ReturnToQueue(Duration hint, Instant now) {
  this->EndLeg(this->decode, true, now);
  this->EndLeg(this->prefill, true, now);
  this->EndStart();
  this->prefill_at = kNever;
  this->reserve_again_at = kNever;
  this->decode.tried.clear();
  this->prefill.tried.clear();
  this->resuming = this->running > 0 || this->stream.Begun();
  this->state = RequestState::kWaiting;
  this->PauseQueue(hint, now);
}

void GenerationMachine::PauseQueue(Duration hint, Instant now) {
  this->service.BlockUntil(now + std::clamp(hint, kMinPause, kMaxPause));
}

// Takes one repeat of a run from the budget. If there is none, the request ends
// here.
bool GenerationMachine::MayRepeat(ResultCode code, Instant now) {
  if (this->repeats + 1 < this->context.options.max_attempts &&
      this->context.budget.TryTake()) {
    ++this->repeats;
    ++this->context.counters.runs_repeated;
    return true;
  }
  ++this->context.counters.repeats_denied;
  this->GiveUp(this->repeats > 0 ? ResultCode::kRetriesExhausted : code, now);
  return false;
}

// A run is lost and has to be repeated from the end of the delivered text.
void GenerationMachine::Rerun(ResultCode code, Instant now) {
  this->EndLeg(this->decode, true, now);
  this->EndLeg(this->prefill, true, now);
  if (this->TokensLeft() == 0) {
    this->Finish(protocol::FinishReason::kLength, {}, now);
    return;
  }
  if (!this->MayRepeat(code, now)) {
    return;
  }
  this->context.counters.streams_resumed += this->stream.Begun() ? 1 : 0;
  this->EndStart();
  // The prefill endpoint did not fail. If it stayed in the list of tried
  // endpoints, the only endpoint that caches the prefix would be skipped. The
  // death of a decode endpoint would then cause the whole prompt of each of its
  // streams to be computed again.
  this->prefill.tried.clear();
  this->prefill_at = kNever;
  this->reserve_again_at = kNever;
  this->resuming = true;
  this->state = RequestState::kWaiting;
}

void GenerationMachine::Finish(protocol::FinishReason reason,
                               const protocol::Usage& usage,
                               Instant now) {
  const std::uint32_t output =
      usage.output_tokens > 0
          ? this->stream.EarlierTokens() + usage.output_tokens
          : this->stream.Tokens();
  const std::uint32_t prompt = this->prompt_tokens_counted > 0
                                   ? this->prompt_tokens_counted
                                   : usage.prompt_tokens;
  this->context.budget.NoteSuccess();
  ++this->context.counters.completed;
  this->EndLeg(this->decode, false, now);
  this->Abandon(now);
  this->Emit(AnswerEnd{.request = this->terms.request,
                       .reason = reason,
                       .usage = {.prompt_tokens = prompt,
                                 .cached_tokens = this->cached_tokens,
                                 .output_tokens = output}});
}

void GenerationMachine::GiveUp(ResultCode code, Instant now) {
  if (this->running == 0) {
    this->Refuse(IsNotRun(code) ? code : ResultCode::kNoEndpoint,
                 this->service.RetryAfter(), now);
    return;
  }
  this->Fail(IsNotRun(code) ? ResultCode::kRetriesExhausted : code,
             protocol::Outcome::kUnknown, Duration::zero(), now);
}

void GenerationMachine::Abandon(Instant now) {
  this->EndLeg(this->decode, true, now);
  this->EndLeg(this->prefill, true, now);
  this->EndStart();
  this->state = RequestState::kDone;
}

}  // namespace acacialug::entry
