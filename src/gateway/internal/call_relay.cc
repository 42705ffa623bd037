#include "gateway/internal/call_relay.h"

#include <algorithm>
#include <utility>

#include "framework/global/append_bytes.h"
#include "framework/global/hex_text.h"
#include "gateway/internal/refusal.h"

namespace acacialug::gateway {
namespace {

constexpr int kFirstServerError = 500;
// Sends after which a request that did not run is abandoned: each costs a round
// trip, and a service that rejects three times is full.
constexpr std::uint32_t kMaxSends = 4;

}  // namespace

const EndpointRecord* CallRelay::FindEndpoint(std::vector<EndpointId> avoided) {
  avoided.insert(avoided.end(), this->tried.begin(), this->tried.end());
  const auto endpoints = this->AvailableEndpoints();
  return this->context.calls.Pick({.domain = this->context.domain,
                                   .tried = std::move(avoided),
                                   .hold = this->work.state->forecast.Call(),
                                   .now = this->Now()},
                                  endpoints, this->context.random);
}

bool CallRelay::TryPlace() {
  const EndpointRecord* const picked = this->FindEndpoint({});
  if (picked == nullptr ||
      this->BarBefore(*picked, this->arrivals.UncoveredByRun()) !=
          SendBar::kNone) {
    return false;
  }
  this->Send(*picked);
  return true;
}

void CallRelay::Send(const EndpointRecord& chosen) {
  this->endpoint = chosen;
  this->load = {.requests = 1};
  this->Log(
      log::Level::kInfo, "call_placed", chosen.id,
      {{"at_endpoint", this->context.load_table.TotalAt(chosen.id).requests},
       {"failure_share", this->context.health.FailureShare(chosen.id)},
       {"endpoints_as_of", this->context.catalog.complete_to()},
       {"left_ms", this->TimeLeft()}});
  this->context.load_table.Add(chosen.id, this->load, chosen.started_at_ms);
  this->nature = AnswerNature::kUnproven;
  this->DropBody();
  this->sent_at = this->Now();
  ++this->outcome.sends;
  ++this->runs;
  auto self = std::static_pointer_cast<CallRelay>(this->shared_from_this());
  this->SendTo(
      chosen, {.time_left = this->TimeLeft()},
      {.on_head =
           [self](int answered, const http::Headers& head) {
             self->OnHead(answered, head);
           },
       .on_unframed =
           [self] {
             self->NoteUnframed(self->endpoint, self->nature, self->sent_at);
           },
       .on_data = [self](std::string_view data) { self->OnBodyData(data); },
       .on_end = [self](const std::string&) { self->OnBodyComplete(); },
       .on_error = [self](const Error& error,
                          bool sent) { self->OnLost(error, sent); }});
  this->StartResponseTimer();
}

Duration CallRelay::ResponseTimeout() const {
  return FromSeconds(kResponseTimeoutObjectives *
                     Seconds(this->work.route->objective));
}

void CallRelay::StartResponseTimer() {
  if (this->MayRunAgain()) {
    this->SetPhaseTimer(this->ResponseTimeout(),
                        [this] { this->OnResponseTimeout(); });
  }
}

void CallRelay::OnHead(int answered, const http::Headers& head) {
  this->status = answered;
  this->headers = head;
  this->nature = this->context.dialect.judge_answer(
      this->work.request, WorkStep::kWhole, answered, head);
}

void CallRelay::OnBodyData(std::string_view data) {
  AppendBytes(this->body, data);
  this->HoldAnswer(this->body.size());
}

void CallRelay::OnAnswerTooLong() {
  this->StopExchange();
  this->context.health.NoteFailure(this->endpoint.id, this->Now());
  this->Log(
      log::Level::kWarning, "answer_too_long", this->endpoint.id,
      {{"bytes", this->body.size()}, {"after_ms", this->Now() - this->sent_at}},
      ResultCode::kEngineBadAnswer);
  this->DropBody();
  this->AfterRun(ResultCode::kEngineBadAnswer);
}

void CallRelay::OnBodyComplete() {
  this->ForgetExchange();
  const EndpointId& id = this->endpoint.id;
  switch (this->nature) {
    case AnswerNature::kSuccess: {
      const Duration took = this->Now() - this->sent_at;
      if (!this->unframed) {
        this->EndWhole(took);
        return;
      }
      this->CancelPhaseTimer();
      this->ConfirmEnd(this->ResponseTimeout(),
                       [this, took](const EndConfirmation::Outcome& confirmed) {
                         this->OnEndConfirmed(confirmed, took);
                       });
      return;
    }
    case AnswerNature::kNotRun:
      this->context.health.NoteFull(id, this->Now());
      this->AfterNotRun(ResultCode::kOverloaded);
      return;
    case AnswerNature::kMisplaced:
      this->context.health.NoteTimeout(id, this->Now());
      this->AfterNotRun(ResultCode::kNoEndpoint);
      return;
    case AnswerNature::kFailure:
      if (this->status >= kFirstServerError) {
        this->context.health.NoteFailure(id, this->Now());
        if (this->TakeRepeat()) {
          this->EndAttempt();
          if (this->TryPlace()) {
            return;
          }
        }
      }
      this->ForwardFailure(this->status, this->headers, std::move(this->body));
      return;
    case AnswerNature::kUnproven:
    case AnswerNature::kForeign:
      this->context.health.NoteFailure(id, this->Now());
      this->AfterRun(ResultCode::kEngineBadAnswer);
      return;
  }
}

void CallRelay::OnEndConfirmed(const EndConfirmation::Outcome& confirmed,
                               Duration took) {
  this->Log(log::Level::kInfo, "answer_ended_unframed", this->endpoint.id,
            {{"endpoint_state", NameOf(kRunStateNames, confirmed.answer.state)},
             {"same_process", confirmed.same_process},
             {"born_unix_ms", confirmed.answer.started_at_ms},
             {"bytes", this->body.size()},
             {"after_ms", this->Now() - this->sent_at}});
  if (confirmed.whole) {
    this->EndWhole(took);
  } else {
    this->OnLost(Error(ResultCode::kConnectionLost,
                       "the endpoint ended with the answer"),
                 true);
  }
}

void CallRelay::EndWhole(Duration took) {
  this->context.health.NoteSuccess(this->endpoint.id, this->Now());
  this->context.quarantine.NoteBegun(this->work.subjects, this->work.service);
  if (!this->context.timers.StalledBetween(this->sent_at, this->Now())) {
    this->work.state->forecast.NoteCall(took);
  }
  this->ForwardAnswer(RelayEnd::kServed, this->status, this->headers,
                      std::move(this->body));
}

void CallRelay::OnLost(const Error& error, bool sent) {
  this->ForgetExchange();
  this->NoteLost(this->endpoint, error, sent, this->nature);
  this->Log(log::Level::kWarning, "attempt_lost", this->endpoint.id,
            {{"sent", sent},
             {"after_ms", this->Now() - this->sent_at},
             {"request_key", HexText(this->work.subjects.request.value)},
             {"prompt_parts", this->PartsText()},
             {"part_keys", this->PartKeysText()},
             {"detail", error.detail}},
            error.result_code());
  if (!sent) {
    this->AfterNotRun(ResultCode::kNoEndpoint);
  } else {
    this->AfterRun(ResultCode::kEndpointLost);
  }
}

void CallRelay::OnResponseTimeout() {
  // A request that is stopped while no other endpoint can take it would be
  // answered with 502, though its present endpoint may still answer it.
  const EndpointRecord* const other = this->FindEndpoint({this->endpoint.id});
  const bool elsewhere = other != nullptr && other->id != this->endpoint.id;
  if (!elsewhere || !this->TakeRepeat()) {
    this->StartResponseTimer();
    return;
  }
  this->context.health.NoteTimeout(this->endpoint.id, this->Now());
  this->context.hooks.drop_idle(this->endpoint.address);
  this->Log(log::Level::kWarning, "attempt_silent", this->endpoint.id,
            {{"after_ms", this->Now() - this->sent_at},
             {"request_key", HexText(this->work.subjects.request.value)}},
            ResultCode::kEndpointLost);
  this->StopExchange();
  this->EndAttempt();
  if (!this->TryPlace()) {
    this->Refuse(ResultCode::kEndpointLost, {});
  }
}

bool CallRelay::TakeRepeat() {
  const bool allowed = this->MayRunAgain() && !this->Quarantined() &&
                       this->runs < this->work.route->max_endpoints &&
                       this->outcome.sends < kMaxSends;
  const auto available = this->AvailableEndpoints();
  const bool others = std::any_of(available.begin(), available.end(),
                                  [this](const EndpointRecord* other) {
                                    return other->id != this->endpoint.id;
                                  });
  return allowed && others &&
         this->CoverRepeats(this->arrivals.UncoveredByRun());
}

void CallRelay::ReleaseLoad() {
  if (!this->load.empty()) {
    this->context.load_table.Remove(this->endpoint.id, this->load,
                                    this->endpoint.started_at_ms);
    this->load = {};
  }
}

void CallRelay::DropBody() {
  FreeBytes(this->body);
  this->HoldAnswer(0);
}

void CallRelay::EndAttempt() {
  this->CancelPhaseTimer();
  this->DropConfirmation();
  this->ReleaseLoad();
  this->tried.push_back(this->endpoint.id);
}

void CallRelay::AfterNotRun(ResultCode code) {
  this->EndAttempt();
  --this->runs;
  this->Log(log::Level::kInfo, "call_rejected", this->endpoint.id,
            {{"proof", ProofName(this->nature)},
             {"new_connection", this->new_connection},
             {"after_ms", this->Now() - this->sent_at},
             {"sends", this->outcome.sends}});
  const bool possible = !this->AvailableEndpoints().empty();
  const bool again =
      possible && !this->Quarantined() && this->outcome.sends < kMaxSends &&
      this->CoverRepeats(this->arrivals.UncoveredByRun()) && this->TryPlace();
  if (again) {
    return;
  }
  if (this->runs > 0) {
    this->Refuse(ResultCode::kOutcomeUnknown, {});
    return;
  }
  this->Refuse(code, kRetrySoon);
}

void CallRelay::AfterRun(ResultCode code) {
  const bool again = this->TakeRepeat();
  this->EndAttempt();
  if (again && this->TryPlace()) {
    return;
  }
  this->Refuse(code, {});
}

void CallRelay::OnDeadline() {
  if (this->runs == 0) {
    this->Refuse(ResultCode::kDeadlineUnreachable, kRetrySoon);
    return;
  }
  this->context.health.NoteTimeout(this->endpoint.id, this->Now());
  this->context.hooks.drop_idle(this->endpoint.address);
  this->Refuse(ResultCode::kDeadlineExceeded, {});
}

void CallRelay::EndUnanswered() {
  this->Refuse(
      this->runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kDraining,
      kRetryElsewhere);
}

void CallRelay::Release() {
  this->ReleaseLoad();
}

}  // namespace acacialug::gateway
