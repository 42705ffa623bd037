// The part of RequestRouter that accepts or refuses arriving requests.
#include <utility>

#include "entry/internal/arrival_rules.h"
#include "entry/internal/request_router.h"

namespace acacialug::entry {
namespace {

// Retry advice for a request refused because of the state of the whole process.
constexpr Duration kArrivalRetryAfter = 1s;
// The estimate refuses a prompt as too long only beyond this multiple of the
// context. Below it, the engine's own count decides.
constexpr double kLengthTolerance = 1.25;

}  // namespace

ResultCode RequestRouter::ArrivalRefusal() const {
  if (this->draining) {
    return ResultCode::kDraining;
  }
  if (!this->manifest) {
    return ResultCode::kNotReady;
  }
  return this->machines.size() >= this->options.max_requests
             ? ResultCode::kOverloaded
             : ResultCode::kOk;
}

void RequestRouter::Refuse(const RequestId& request,
                           ResultCode code,
                           Duration retry_after) {
  ++this->counters.refused_not_run;
  this->actions.emplace_back(AnswerError{.request = request,
                                         .code = code,
                                         .outcome = protocol::Outcome::kNotRun,
                                         .retry_after = retry_after});
}

bool RequestRouter::Admit(const RequestId& request,
                          const Result<RequestTerms>& terms,
                          Instant now) {
  if (!terms) {
    this->Refuse(request, terms.error().result_code(), {});
    return false;
  }
  const manifest::CallerLimits* const limits =
      this->manifest->FindCaller(terms->caller);
  const Duration wait =
      limits == nullptr ? Duration::zero() : this->rates.Take(*limits, now);
  if (wait > Duration::zero()) {
    this->Refuse(request, ResultCode::kCallerOverLimit, wait);
    return false;
  }
  return true;
}

void RequestRouter::OnGeneration(const GenerationArrived& arrived,
                                 Instant now) {
  this->BeginInput(now);
  const ResultCode refusal = this->ArrivalRefusal();
  if (refusal != ResultCode::kOk) {
    this->Refuse(arrived.request, refusal, kArrivalRetryAfter);
    this->FinishInput(now);
    return;
  }
  auto terms = ArrivalRules::ForGeneration(arrived, this->manifest,
                                           this->options.default_deadline, now);
  if (!this->Admit(arrived.request, terms, now)) {
    return;
  }
  const manifest::Service& service = *terms->service;
  ServiceState& state = this->StateOf(service);
  const auto tokens =
      static_cast<double>(state.tokens.Estimate(arrived.prompt_text.size()));
  if (tokens > kLengthTolerance * service.context_tokens) {
    this->Refuse(arrived.request, ResultCode::kPromptTooLong, {});
    return;
  }
  this->Add(std::make_unique<GenerationMachine>(
                this->Context(), std::move(terms.value()), state, arrived),
            now);
}

void RequestRouter::OnCall(const CallArrived& arrived, Instant now) {
  this->BeginInput(now);
  const ResultCode refusal = this->ArrivalRefusal();
  if (refusal != ResultCode::kOk) {
    this->Refuse(arrived.request, refusal, kArrivalRetryAfter);
    this->FinishInput(now);
    return;
  }
  auto terms = ArrivalRules::ForCall(arrived, this->manifest,
                                     this->options.default_deadline, now);
  if (!this->Admit(arrived.request, terms, now)) {
    return;
  }
  const bool idempotent =
      ArrivalRules::Idempotent(*terms->service, arrived.call);
  if (!idempotent && arrived.idempotency_key.empty() &&
      arrived.ticket.empty()) {
    this->Refuse(arrived.request, ResultCode::kKeyRequired, {});
    return;
  }
  ServiceState& state = this->StateOf(*terms->service);
  this->Add(
      std::make_unique<CallMachine>(this->Context(), std::move(terms.value()),
                                    state, arrived, idempotent),
      now);
}

void RequestRouter::Add(std::unique_ptr<RequestMachine> machine, Instant now) {
  RequestMachine& added = *machine;
  const auto [found, created] =
      this->machines.try_emplace(added.Terms().request, std::move(machine));
  if (!created) {
    return;  // the process reused an id; the first request keeps it
  }
  if (this->options.feasibility_counts_queue &&
      this->options.order != QueueOrder::kNewest &&
      now + added.Service().QueueWait() > added.LatestStart()) {
    // The request would be dispatched too late. If it is refused now, the
    // caller can try elsewhere; if it is refused later, the wait was useless.
    added.Refuse(ResultCode::kDeadlineUnreachable, added.Service().RetryAfter(),
                 now);
  } else {
    this->Enqueue(added, true, now);
  }
  this->OnMachineChanged(added, now);
  this->FinishInput(now);
}

}  // namespace acacialug::entry
