#include "entry_process/internal/entry_measures.h"

#include "entry_process/metric_definitions.h"

namespace acacialug::entry_process {

void EntryMeasures::OnGenerationCompleted(const RequestTrace& trace,
                                          std::uint32_t output_tokens,
                                          Instant now) {
  this->CountOutcome(trace, "completed");
  this->CountTargets(trace, output_tokens, now);
  this->CountPrefill(trace, true, "repeated");
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
  this->CountPrefill(trace, false, ResultCodeName(code));
  this->registry
      .Get(kErrorsTotal,
           {trace.service, trace.latency_class, ResultCodeName(code)})
      .Add();
}

void EntryMeasures::OnCallerGone(const RequestTrace& trace) {
  this->CountOutcome(trace, "caller_gone");
  this->CountPrefill(trace, false, "caller_gone");
}

void EntryMeasures::OnBadRequest(ResultCode code) {
  this->registry.Get(kBadRequestsTotal, {ResultCodeName(code)}).Add();
}

void EntryMeasures::OnLatePrefill(std::string_view service,
                                  std::uint64_t tokens) {
  this->registry.Get(kPrefillTokensTotal, {service}).Add(tokens);
  this->registry.Get(kWastedPrefillTokensTotal, {service, "late"}).Add(tokens);
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
  if (first && interval) {
    this->registry.Get(kGoodputTotal, {trace.service, trace.latency_class})
        .Add();
    return;
  }
  const auto count_missed = [&](std::string_view target) {
    this->registry
        .Get(kTargetMissedTotal, {trace.service, trace.latency_class, target})
        .Add();
  };
  if (!first) {
    count_missed("first_token");
  }
  if (!interval) {
    count_missed("token_interval");
  }
}

void EntryMeasures::CountPrefill(const RequestTrace& trace,
                                 bool completed,
                                 std::string_view cause) {
  if (trace.prefilled_tokens == 0) {
    return;
  }
  this->registry.Get(kPrefillTokensTotal, {trace.service})
      .Add(trace.prefilled_tokens);
  const std::uint64_t wasted = trace.WastedPrefill(completed);
  if (wasted > 0) {
    this->registry.Get(kWastedPrefillTokensTotal, {trace.service, cause})
        .Add(wasted);
  }
}

}  // namespace acacialug::entry_process
