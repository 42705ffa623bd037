#include "forecast/service_forecast.h"

#include <algorithm>
#include <cstddef>

namespace acacialug::forecast {
namespace {

// Priors of an engine of the planned size: 33 prompt tokens per millisecond and
// 20 ms for any prompt; a fetch over the link and the first step; an event
// every 50 ms, a token every 4 ms. The platform states half the speed for
// decode endpoints.
constexpr double kPriorFixedMs = 20.0;
constexpr double kPriorTokenMs = 1.0 / 33.0;
constexpr double kPriorPromptTokens = 3000.0;
constexpr double kPriorLocalPrefillRatio = 2.0;
constexpr double kPriorFirstEventMs = 35.0;
constexpr double kPriorPauseMs = 50.0;
constexpr double kPriorStreamTokenMs = 4.0;
constexpr double kPriorCallMs = 50.0;
// Min number of observed pauses during prompts that bound a predicted pause: a
// single one may be from the end of a prompt.
constexpr std::uint32_t kMinPromptPauses = 4;
// The longest pause during prompts, as a multiple of the mean.
constexpr double kMaxPauseOfMean = 1.25;
// Weight of the newest token time, from which roles are planned for the next
// half minute: a mean over some hundred events, not over the last second.
constexpr double kNewestTokenWeight = 0.005;
constexpr double kMinMs = 0.01;
constexpr double kMaxMs = 30'000.0;

LearnedValue TimeValue(double prior_ms) {
  return LearnedValue(
      {.prior = prior_ms, .min_value = kMinMs, .max_value = kMaxMs});
}

double Milliseconds(Duration duration) {
  return Seconds(duration) * 1000.0;
}

Duration FromMilliseconds(double milliseconds) {
  return FromSeconds(milliseconds / 1000.0);
}

}  // namespace

ServiceForecast::ServiceForecast()
    : prefill({.fixed = kPriorFixedMs,
               .per_unit = kPriorTokenMs,
               .typical_size = kPriorPromptTokens}),
      local_prefill_ratio({.prior = kPriorLocalPrefillRatio,
                           .min_value = 0.5,
                           .max_value = 100}),
      first_event(TimeValue(kPriorFirstEventMs)),
      pause(TimeValue(kPriorPauseMs)),
      prompt_pause(TimeValue(kPriorPauseMs)),
      token({.prior = kPriorStreamTokenMs,
             .min_value = kMinMs,
             .max_value = kMaxMs,
             .newest_weight = kNewestTokenWeight}),
      call(TimeValue(kPriorCallMs)) {}

void ServiceForecast::NotePrefill(std::uint64_t prompt_tokens,
                                  std::uint64_t tokens_ahead,
                                  Duration took) {
  if (tokens_ahead > prompt_tokens) {
    return;
  }
  // The tokens are those of one prompt then, of which half is computed on
  // average.
  const double computed = static_cast<double>(prompt_tokens) +
                          static_cast<double>(tokens_ahead) / 2;
  this->prefill.Note(computed, Milliseconds(took));
}

void ServiceForecast::NoteLocalPrefill(std::uint64_t prompt_tokens,
                                       Duration took) {
  this->local_prefill_ratio.Note(Seconds(took) /
                                 Seconds(this->PrefillTime(prompt_tokens)));
}

void ServiceForecast::NoteFirstEvent(Duration took) {
  this->first_event.Note(Milliseconds(took));
}

void ServiceForecast::NotePause(Duration observed,
                                std::uint32_t tokens,
                                bool during_prefill) {
  (during_prefill ? this->prompt_pause : this->pause)
      .Note(Milliseconds(observed));
  this->token.Note(Milliseconds(observed) / std::max<std::uint32_t>(tokens, 1));
}

void ServiceForecast::NoteCall(Duration took) {
  this->call.Note(Milliseconds(took));
}

Duration ServiceForecast::PrefillTime(std::uint64_t prompt_tokens) const {
  return FromMilliseconds(this->prefill.At(static_cast<double>(prompt_tokens)));
}

Duration ServiceForecast::MarginalPrefillTime(
    std::uint64_t prompt_tokens) const {
  return FromMilliseconds(this->prefill.per_unit_part() *
                          static_cast<double>(prompt_tokens));
}

Duration ServiceForecast::LocalPrefillTime(std::uint64_t prompt_tokens) const {
  return FromSeconds(Seconds(this->PrefillTime(prompt_tokens)) *
                     this->local_prefill_ratio.value());
}

Duration ServiceForecast::FirstEvent() const {
  return FromMilliseconds(this->first_event.value());
}

Duration ServiceForecast::Pause() const {
  return FromMilliseconds(this->pause.value());
}

Duration ServiceForecast::PromptPause(std::uint64_t prompt_tokens) const {
  const Duration max_pause =
      this->Pause() + this->LocalPrefillTime(prompt_tokens);
  if (this->prompt_pause.observations() < kMinPromptPauses) {
    return max_pause;
  }
  return std::min(max_pause, FromMilliseconds(kMaxPauseOfMean *
                                              this->prompt_pause.value()));
}

double ServiceForecast::TokenMs() const {
  return this->token.value();
}

Duration ServiceForecast::Call() const {
  return FromMilliseconds(this->call.value());
}

ReportedValue ServiceForecast::ForFigure(Figure figure) const {
  return this->Report()[static_cast<std::size_t>(figure)];
}

bool ServiceForecast::HasObservations() const {
  const ForecastDigest reported = this->Report();
  return std::any_of(
      reported.begin(), reported.end(),
      [](const ReportedValue& value) { return value.observations > 0; });
}

ForecastDigest ServiceForecast::Report() const {
  const std::uint32_t prefills = this->prefill.observations();
  return {ReportedValue{.value = this->prefill.fixed_part(),
                        .observations = prefills},
          ReportedValue{.value = this->prefill.per_unit_part(),
                        .observations = prefills},
          this->local_prefill_ratio.Report(),
          this->first_event.Report(),
          this->pause.Report(),
          this->prompt_pause.Report(),
          this->token.Report(),
          this->call.Report()};
}

void ServiceForecast::Adopt(const ForecastDigest& reported) {
  const auto figure_of = [&reported](Figure figure) {
    return reported[static_cast<std::size_t>(figure)];
  };
  this->prefill.Adopt(figure_of(Figure::kPrefillFixedMs),
                      figure_of(Figure::kPrefillTokenMs));
  this->local_prefill_ratio.Adopt(figure_of(Figure::kLocalPrefillRatio));
  this->first_event.Adopt(figure_of(Figure::kFirstEventMs));
  this->pause.Adopt(figure_of(Figure::kPauseMs));
  this->prompt_pause.Adopt(figure_of(Figure::kPromptPauseMs));
  this->token.Adopt(figure_of(Figure::kTokenMs));
  this->call.Adopt(figure_of(Figure::kCallMs));
}

}  // namespace acacialug::forecast
