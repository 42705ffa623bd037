#include "forecast/service_forecast.h"

#include <algorithm>
#include <cstddef>

namespace acacialug::forecast {
namespace {

// Priors: what an engine of the planned size does (33 prompt tokens a
// millisecond, and 20 ms for any prompt; a fetch over the link and the first
// step; an event each 50 ms, a token each 4). Half the speed at decode
// endpoints is what the platform says of them.
constexpr double kPriorFixedMs = 20.0;
constexpr double kPriorTokenMs = 1.0 / 33.0;
constexpr double kPriorPromptTokens = 3000.0;
constexpr double kPriorOwnPrompt = 2.0;
constexpr double kPriorFirstEventMs = 35.0;
constexpr double kPriorPauseMs = 50.0;
constexpr double kPriorStreamTokenMs = 4.0;
constexpr double kPriorCallMs = 50.0;
// A few pauses beside prompts tell how long these last at the most: a single
// one may be of the end of a prompt.
constexpr std::uint32_t kBelievedPauses = 4;
// The longest of the pauses beside a prompt, as a multiple of their mean.
constexpr double kLongestOfMean = 1.25;
// Roles are planned by it, for the next half minute: a mean over some hundred
// events, not over the last second.
constexpr double kNewestToken = 0.005;
constexpr double kLeastMs = 0.01;
constexpr double kGreatestMs = 30'000.0;

LearnedValue Time(double prior_ms) {
  return LearnedValue(
      {.prior = prior_ms, .least = kLeastMs, .greatest = kGreatestMs});
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
               .each = kPriorTokenMs,
               .typical_size = kPriorPromptTokens}),
      own_prompt({.prior = kPriorOwnPrompt, .least = 0.5, .greatest = 100}),
      first_event(Time(kPriorFirstEventMs)),
      pause(Time(kPriorPauseMs)),
      prompt_pause(Time(kPriorPauseMs)),
      token({.prior = kPriorStreamTokenMs,
             .least = kLeastMs,
             .greatest = kGreatestMs,
             .newest_weight = kNewestToken}),
      call(Time(kPriorCallMs)) {}

void ServiceForecast::NotePrefill(std::uint64_t prompt_tokens,
                                  std::uint64_t ahead,
                                  Duration took) {
  if (ahead > prompt_tokens) {
    return;
  }
  // So little ahead is one prompt, half of it done on average.
  const double computed =
      static_cast<double>(prompt_tokens) + static_cast<double>(ahead) / 2;
  this->prefill.Note(computed, Milliseconds(took));
}

void ServiceForecast::NoteLocalPrefill(std::uint64_t prompt_tokens,
                                       Duration took) {
  this->own_prompt.Note(Seconds(took) /
                        Seconds(this->PrefillTime(prompt_tokens)));
}

void ServiceForecast::NoteFirstEvent(Duration took) {
  this->first_event.Note(Milliseconds(took));
}

void ServiceForecast::NotePause(Duration seen,
                                std::uint32_t tokens,
                                bool prompt_there) {
  (prompt_there ? this->prompt_pause : this->pause).Note(Milliseconds(seen));
  this->token.Note(Milliseconds(seen) / std::max<std::uint32_t>(tokens, 1));
}

void ServiceForecast::NoteCall(Duration took) {
  this->call.Note(Milliseconds(took));
}

Duration ServiceForecast::PrefillTime(std::uint64_t prompt_tokens) const {
  return FromMilliseconds(this->prefill.At(static_cast<double>(prompt_tokens)));
}

Duration ServiceForecast::MarginalPrefillTime(
    std::uint64_t prompt_tokens) const {
  return FromMilliseconds(this->prefill.each_part() *
                          static_cast<double>(prompt_tokens));
}

Duration ServiceForecast::LocalPrefillTime(std::uint64_t prompt_tokens) const {
  return FromSeconds(Seconds(this->PrefillTime(prompt_tokens)) *
                     this->own_prompt.value());
}

Duration ServiceForecast::FirstEvent() const {
  return FromMilliseconds(this->first_event.value());
}

Duration ServiceForecast::Pause() const {
  return FromMilliseconds(this->pause.value());
}

Duration ServiceForecast::PromptPause(std::uint64_t prompt_tokens) const {
  const Duration most = this->Pause() + this->LocalPrefillTime(prompt_tokens);
  if (this->prompt_pause.observations() < kBelievedPauses) {
    return most;
  }
  return std::min(
      most, FromMilliseconds(kLongestOfMean * this->prompt_pause.value()));
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
  const ForecastDigest told = this->Report();
  return std::any_of(told.begin(), told.end(), [](const ReportedValue& value) {
    return value.observations > 0;
  });
}

ForecastDigest ServiceForecast::Report() const {
  const std::uint32_t prefills = this->prefill.observations();
  return {ReportedValue{.value = this->prefill.fixed_part(),
                        .observations = prefills},
          ReportedValue{.value = this->prefill.each_part(),
                        .observations = prefills},
          this->own_prompt.Report(),
          this->first_event.Report(),
          this->pause.Report(),
          this->prompt_pause.Report(),
          this->token.Report(),
          this->call.Report()};
}

void ServiceForecast::Adopt(const ForecastDigest& told) {
  const auto of = [&told](Figure figure) {
    return told[static_cast<std::size_t>(figure)];
  };
  this->prefill.Adopt(of(Figure::kPrefillFixedMs), of(Figure::kPrefillTokenMs));
  this->own_prompt.Adopt(of(Figure::kLocalPrefillRatio));
  this->first_event.Adopt(of(Figure::kFirstEventMs));
  this->pause.Adopt(of(Figure::kPauseMs));
  this->prompt_pause.Adopt(of(Figure::kPromptPauseMs));
  this->token.Adopt(of(Figure::kTokenMs));
  this->call.Adopt(of(Figure::kCallMs));
}

}  // namespace acacialug::forecast
