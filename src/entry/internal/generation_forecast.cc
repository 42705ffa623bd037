// The part of GenerationMachine that sizes the work and predicts its time.
#include <algorithm>

#include "entry/internal/generation_machine.h"
#include "placement/decode_picker.h"

namespace acacialug::entry {
namespace {

// A prediction margin is at most the target divided by this number. Otherwise a
// series of late answers would cause all requests to be refused, and no new
// measurement would correct the margin.
constexpr int kMarginDivisor = 4;

}  // namespace

std::uint32_t GenerationMachine::TokensLeft() const {
  const std::uint32_t requested = this->work.generation.max_tokens;
  return requested - std::min(requested, this->stream.Tokens());
}

std::uint64_t GenerationMachine::PromptTokens() const {
  const std::uint64_t prompt =
      this->prompt_tokens_counted > 0
          ? this->prompt_tokens_counted
          : this->service.tokens.Estimate(this->prompt_bytes);
  return prompt + this->stream.Tokens();
}

std::uint64_t GenerationMachine::KvTokens() const {
  return std::min<std::uint64_t>(this->PromptTokens() + this->TokensLeft(),
                                 this->terms.service->context_tokens);
}

std::uint64_t GenerationMachine::TransferBytes() const {
  return this->splits_prefill
             ? this->PromptTokens() * this->terms.service->kv_bytes_per_token
             : 0;
}

protocol::GenerationRequest GenerationMachine::RemainingWork() const {
  protocol::GenerationRequest remaining = this->work.generation;
  remaining.resumed_text = this->stream.Text();
  remaining.max_tokens = this->TokensLeft();
  return remaining;
}

admission::Waiting GenerationMachine::QueueRecord() const {
  admission::Waiting record = RequestMachine::QueueRecord();
  record.cost = static_cast<double>(this->KvTokens());
  return record;
}

bool GenerationMachine::ReservesFirst() const {
  return (this->context.options.reservation !=
              agent::ReservationPolicy::kNone &&
          this->context.options.rules.reserve_before_prefill) ||
         !this->splits_prefill;
}

bool GenerationMachine::ExportAlive(Instant now) const {
  return this->prefill.stage == LegStage::kReady && now < this->export_until;
}

Duration GenerationMachine::PrefillReadyIn(const placement::EndpointView& view,
                                           Instant now) const {
  const Duration ahead = this->context.options.feasibility_counts_queue
                             ? view.WorkAhead(now)
                             : Duration::zero();
  return ahead + 2 * view.Distance() +
         view.PrefillTime(this->PromptTokens() - this->CachedTokens(view, now));
}

// Returns the remaining time of a running prefill. When a decode endpoint dies,
// reservations whose prefills still run are made again at other endpoints, each
// with a transfer window. If the windows were requested for now, when there is
// nothing to transfer yet, the endpoints would refuse as if their links were
// busy, and exports would be evicted before they are fetched.
Duration GenerationMachine::PrefillLeft(Instant now) const {
  if (this->prefill.stage != LegStage::kRequested) {
    return Duration::zero();
  }
  return std::max(this->prefill.requested_at + this->prefill_expected - now,
                  Duration::zero());
}

placement::PlacementNeed GenerationMachine::PrefillNeed(Instant now) const {
  return {.prompt_tokens = this->PromptTokens(),
          .prefix = this->prefix,
          .block_tokens = this->terms.service->piece_tokens,
          .repeated = this->repeats > 0,
          .tried = this->prefill.tried,
          .now = now};
}

std::uint64_t GenerationMachine::CachedTokens(
    const placement::EndpointView& view,
    Instant now) const {
  const double cached =
      this->service.prefill_picker.CachedTokens(this->PrefillNeed(now), view);
  return std::min(static_cast<std::uint64_t>(cached), this->PromptTokens());
}

placement::EndpointView* GenerationMachine::PickPrefill(Instant now) {
  return this->service.pick_prefill(
      this->context.fleet.Usable(this->terms.service->name,
                                 protocol::EndpointRole::kPrefill),
      this->PrefillNeed(now), this->context.random);
}

placement::PlacementNeed GenerationMachine::DecodeNeed(Instant now) const {
  return {
      .kv_tokens = this->KvTokens(), .tried = this->decode.tried, .now = now};
}

placement::EndpointView* GenerationMachine::PickDecode(Instant now) {
  const placement::Candidates candidates = this->context.fleet.Usable(
      this->terms.service->name, protocol::EndpointRole::kDecode);
  const placement::PlacementNeed need = this->DecodeNeed(now);
  placement::EndpointView* const view =
      this->service.pick_decode(candidates, need, this->context.random);
  if (view == nullptr || this->SlotWait(*view, now) == Duration::zero()) {
    return view;
  }
  // None of the sampled endpoints is free.
  return placement::SoonestFree(candidates, need);
}

// The baselines do not predict: they send the request to the picked endpoint.
Duration GenerationMachine::SlotWait(const placement::EndpointView& view,
                                     Instant now) const {
  return this->context.options.placement == PlacementPolicy::kPredicted
             ? view.SlotWait(this->KvTokens(), now)
             : Duration::zero();
}

// Returns whether a start now still meets the first token's target, and records
// the predictions. A request that has begun, or that already used a run,
// continues until its deadline, since dropping it would waste that work.
bool GenerationMachine::Feasible(Instant now) {
  Duration expected{};
  Duration ready_in{};
  if (this->splits_prefill) {
    const placement::EndpointView* const view = this->PickPrefill(now);
    if (view == nullptr) {
      return true;  // unknown; no slot will be found anyway
    }
    ready_in = this->PrefillReadyIn(*view, now);
    expected = view->PrefillTime(this->PromptTokens());
  }
  const placement::EndpointView* const target = this->PickDecode(now);
  if (target != nullptr) {
    const Duration rest =
        target->RoundTrip() + target->TransferTime(this->TransferBytes()) +
        target->TokenInterval() +
        (this->splits_prefill ? Duration::zero()
                              : target->PrefillTime(this->PromptTokens()));
    ready_in += rest;
    expected += rest;
    this->rest_after_prefill = rest;
  }
  this->first_token_predicted = now + ready_in;
  this->start_expected = expected;
  if (this->running > 0 || this->resuming) {
    return true;
  }
  return now + ready_in + this->Margin() <= this->terms.first_token_by;
}

Instant GenerationMachine::LatestStart() const {
  const placement::Candidates prefills = this->context.fleet.Usable(
      this->terms.service->name, protocol::EndpointRole::kPrefill);
  if (prefills.empty()) {
    return this->terms.first_token_by;
  }
  const auto cached = static_cast<std::uint64_t>(
      this->service.prefill_picker.CachedTokensAnywhere(
          this->PrefillNeed(this->terms.arrival)));
  const std::uint64_t tokens = this->PromptTokens();
  return this->terms.first_token_by - this->Margin() -
         prefills.front()->PrefillTime(tokens - std::min(cached, tokens));
}

Duration GenerationMachine::Margin() const {
  return std::min(this->service.margin.Margin(),
                  this->terms.latency_class->first_token / kMarginDivisor);
}

// Returns the time left until the decode has to start for the first token to be
// on time. After that moment, or for a request that already used a run, returns
// the time left until its deadline.
Duration GenerationMachine::TimeToFirstToken(Instant now) const {
  const Instant start_by =
      std::min(this->terms.first_token_by, this->terms.deadline) -
      this->rest_after_prefill;
  const bool on_time = this->repeats == 0 && !this->resuming && now < start_by;
  return (on_time ? start_by : this->terms.deadline) - now;
}

}  // namespace acacialug::entry
