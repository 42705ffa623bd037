#include "entry_process/internal/entry_measures.h"

#include "entry_process/metric_definitions.h"

namespace acacialug::entry_process {

using service_levels::Cause;
using service_levels::CauseName;
using service_levels::CauseOf;
using service_levels::LevelCounts;

namespace {

// A caller's malformed requests (1xxx), the state of its own key (4xxx) and its
// own rate say nothing about the service: if they counted, one broken caller
// would spend the error budget of all callers and page the operators.
bool IsCallersOwn(ResultCode code) {
  const int thousands = static_cast<int>(code) / 1000;
  return thousands == 1 || thousands == 4 ||
         code == ResultCode::kCallerOverLimit;
}

}  // namespace

void EntryMeasures::OnGenerationCompleted(const RequestTrace& trace,
                                          std::uint32_t output_tokens,
                                          Instant now) {
  this->CountOutcome(trace, "completed");
  this->CountTargets(trace, output_tokens, now);
  this->CountPrefill(trace, true, Cause::kRepeated);
  this->registry.Get(kOutputTokensTotal, {trace.service, trace.latency_class})
      .Add(output_tokens);
  this->registry.Get(kFirstTokenSeconds, {trace.service, trace.latency_class})
      .Record(Seconds(trace.FirstToken(now)));
  if (output_tokens > 1) {
    this->registry
        .Get(kTokenIntervalSeconds, {trace.service, trace.latency_class})
        .Record(Seconds(trace.TokenInterval(output_tokens)));
  }
}

void EntryMeasures::OnCallCompleted(const RequestTrace& trace, Instant now) {
  this->CountOutcome(trace, "completed");
  this->CountTargets(trace, 0, now);
  this->registry.Get(kCallSeconds, {trace.service, trace.latency_class})
      .Record(Seconds(now - trace.arrived));
}

void EntryMeasures::OnError(const RequestTrace& trace,
                            ResultCode code,
                            protocol::Outcome outcome) {
  this->CountOutcome(trace, NameOf(protocol::kOutcomeNames, outcome));
  this->CountPrefill(trace, false, CauseOf(code));
  if (!IsCallersOwn(code)) {
    this->CountLevel(
        trace, {.total = 1, .causes = {{.cause = CauseOf(code), .count = 1}}});
  }
  this->registry
      .Get(kErrorsTotal,
           {trace.service, trace.latency_class, ResultCodeName(code)})
      .Add();
}

void EntryMeasures::OnCallerGone(const RequestTrace& trace) {
  this->CountOutcome(trace, "caller_gone");
  this->CountPrefill(trace, false, Cause::kCallerGone);
}

void EntryMeasures::OnBadRequest(ResultCode code) {
  this->registry.Get(kBadRequestsTotal, {ResultCodeName(code)}).Add();
}

void EntryMeasures::OnLatePrefill(std::string_view service,
                                  std::uint64_t tokens) {
  this->AddPrefill(service, tokens, tokens, Cause::kLateResult);
}

void EntryMeasures::OnAgentClosed(ResultCode code) {
  this->registry.Get(kAgentConnectionsClosedTotal, {ResultCodeName(code)})
      .Add();
}

void EntryMeasures::CountOutcome(const RequestTrace& trace,
                                 std::string_view outcome) {
  this->registry
      .Get(kRequestsTotal, {trace.service, trace.latency_class, outcome})
      .Add();
}

void EntryMeasures::CountTargets(const RequestTrace& trace,
                                 std::uint32_t output_tokens,
                                 Instant now) {
  const bool first = trace.FirstToken(now) <= trace.first_token_target;
  const bool interval =
      trace.TokenInterval(output_tokens) <= trace.token_interval_target;
  LevelCounts counts{.total = 1};
  if (first && interval) {
    this->registry.Get(kGoodputTotal, {trace.service, trace.latency_class})
        .Add();
    counts.good = 1;
  }
  const auto count_missed = [&](std::string_view target, Cause cause) {
    this->registry
        .Get(kTargetMissedTotal, {trace.service, trace.latency_class, target})
        .Add();
    counts.causes.push_back({.cause = cause, .count = 1});
  };
  if (!first) {
    count_missed("first_token", Cause::kLateFirstToken);
  }
  if (!interval) {
    count_missed("token_interval", Cause::kLateTokenInterval);
  }
  this->CountLevel(trace, counts);
}

void EntryMeasures::CountPrefill(const RequestTrace& trace,
                                 bool completed,
                                 Cause cause) {
  if (trace.prefilled_tokens > 0) {
    this->AddPrefill(trace.service, trace.prefilled_tokens,
                     trace.WastedPrefill(completed), cause);
  }
}

void EntryMeasures::AddPrefill(std::string_view service,
                               std::uint64_t computed,
                               std::uint64_t wasted,
                               Cause cause) {
  this->registry.Get(kPrefillTokensTotal, {service}).Add(computed);
  if (wasted > 0) {
    this->registry.Get(kWastedPrefillTokensTotal, {service, CauseName(cause)})
        .Add(wasted);
  }
  if (this->recorder != nullptr) {
    this->recorder->CountPrefill(service, computed, wasted, cause);
  }
}

void EntryMeasures::CountLevel(const RequestTrace& trace,
                               const LevelCounts& counts) {
  if (this->recorder != nullptr) {
    this->recorder->CountRequest(trace.service, trace.latency_class, counts);
  }
}

}  // namespace acacialug::entry_process
