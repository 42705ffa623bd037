#include "load/report_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acacialug::load {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kListedViolations = 100;
constexpr int kIndent = 2;

double Milliseconds(Duration duration) {
  return Seconds(duration) * 1000;
}

ordered_json DurationJson(const DurationFigures& figures) {
  return {{"count", figures.count},
          {"p50_ms", Milliseconds(figures.p50)},
          {"p95_ms", Milliseconds(figures.p95)},
          {"p99_ms", Milliseconds(figures.p99)},
          {"longest_ms", Milliseconds(figures.longest)}};
}

ordered_json MixJson(const MixFigures& mix, double seconds) {
  ordered_json object{{"name", mix.name},
                      {"kind", mix.generation ? "generation" : "call"},
                      {"direct", mix.direct},
                      {"offered", mix.offered},
                      {"on_time", mix.on_time},
                      {"slow_readers", mix.slow_readers}};
  for (const auto& [outcome, name] : kRequestOutcomeNames) {
    const auto found = mix.outcomes.find(outcome);
    object[std::string(name)] = found == mix.outcomes.end() ? 0 : found->second;
  }
  object["offered_per_second"] = static_cast<double>(mix.offered) / seconds;
  object["goodput_per_second"] = static_cast<double>(mix.on_time) / seconds;
  object["first_token"] = DurationJson(mix.first_token);
  if (mix.generation) {
    object["mean_prompt_tokens"] = mix.mean_prompt_tokens;
    object["mean_shared_tokens"] = mix.mean_shared_tokens;
    object["mean_output_tokens"] = mix.mean_output_tokens;
    object["token_interval"] = DurationJson(mix.token_interval);
  }
  object["codes"] = mix.codes;
  return object;
}

ordered_json ViolationsJson(const std::vector<Violation>& violations) {
  ordered_json list = ordered_json::array();
  for (std::size_t index = 0;
       index < std::min(violations.size(), kListedViolations); ++index) {
    list.push_back(
        {{"kind", NameOf(kViolationKindNames, violations[index].kind)},
         {"request", violations[index].request},
         {"detail", violations[index].detail}});
  }
  return list;
}

ordered_json StandInsJson(const StandInFigures& figures) {
  return {{"known", figures.known},
          {"prefill_computed_tokens", figures.prefill_computed},
          {"prefill_cached_tokens", figures.prefill_cached},
          {"output_tokens", figures.output},
          {"exports_evicted", figures.exports_evicted},
          {"aborted", figures.aborted},
          {"refused", figures.refused},
          {"failed", figures.failed},
          {"held_after", figures.held_after}};
}

ordered_json TimelineJson(const Timeline& timeline) {
  ordered_json slowest = ordered_json::array();
  for (const Duration& duration : timeline.slowest) {
    slowest.push_back(Milliseconds(duration));
  }
  return {
      {"begun_monotonic_seconds", Seconds(timeline.begun.time_since_epoch())},
      {"step_seconds", Seconds(kTimelineStep)},
      {"offered", timeline.offered},
      {"on_time", timeline.on_time},
      {"failed", timeline.failed},
      {"slowest_ms", std::move(slowest)}};
}

}  // namespace

std::string ToJson(const LoadReport& report) {
  const double seconds = Seconds(report.figures.measured);
  ordered_json object{
      {"measured_seconds", seconds},
      {"arrived", report.figures.arrived},
      {"completed", report.figures.completed},
      {"tokens", report.figures.tokens},
      {"tokens_per_second",
       static_cast<double>(report.figures.measured_tokens) / seconds},
      {"most_outstanding", report.figures.max_outstanding},
      {"latest_send_ms", Milliseconds(report.latest_send)},
      {"completed_prefill_tokens", report.figures.completed_prefill_tokens},
      {"wasted_prefill_ratio", report.wasted_prefill_ratio()},
      {"stand_ins", StandInsJson(report.stand_ins)},
      {"violations", report.violations.size()},
      {"violation_list", ViolationsJson(report.violations)}};
  object["mixes"] = ordered_json::array();
  for (const MixFigures& mix : report.figures.mixes) {
    object["mixes"].push_back(MixJson(mix, seconds));
  }
  object["timeline"] = TimelineJson(report.figures.timeline);
  return object.dump(kIndent, ' ', /*ensure_ascii=*/true,
                     ordered_json::error_handler_t::replace) +
         "\n";
}

}  // namespace acacialug::load
