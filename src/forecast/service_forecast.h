#ifndef FORECAST_SERVICE_FORECAST_H_
#define FORECAST_SERVICE_FORECAST_H_

#include <cstdint>

#include "forecast/learned_line.h"
#include "forecast/learned_value.h"
#include "forecast/types/forecast_digest.h"
#include "framework/global/types/instant.h"

namespace acacialug::forecast {

// Predicts how long work takes at the engines of one service, from the
// observations of this process and its peers. Differences between endpoints are
// not included; see gateway::EndpointHealth::Slowness.
//
// Constants for all engines fail with a slow pool: one that computes 15 prompt
// tokens per millisecond, half of the constant, gets half of the prefill
// endpoints that it needs. Its prompts are then computed at decode endpoints,
// where they delay every stream beyond its limit.
//
// Each figure starts from a prior, that of engines of the planned size, which
// about five observations replace. Not thread safe.
class ServiceForecast {
 public:
  ServiceForecast();

  // A prefill endpoint computed a prompt in `took`; at the request, tokens of
  // other prompts (`tokens_ahead`) were not yet computed there. Ignored if
  // these are more than the prompt's own: which part of them was already
  // computed is unknown.
  void NotePrefill(std::uint64_t prompt_tokens,
                   std::uint64_t tokens_ahead,
                   Duration took);
  // A decode endpoint computed a prompt between the tokens of its streams.
  void NoteLocalPrefill(std::uint64_t prompt_tokens, Duration took);
  // A decode endpoint received a computed prompt and produced the first event.
  void NoteFirstEvent(Duration took);
  // The time between two events of a stream, which cover `tokens` tokens;
  // `during_prefill`: its endpoint computed a prompt for all of that time.
  void NotePause(Duration pause, std::uint32_t tokens, bool during_prefill);

  // An endpoint answered a plain request.
  void NoteCall(Duration took);

  // At a prefill endpoint without other work.
  Duration PrefillTime(std::uint64_t prompt_tokens) const;
  // The part of PrefillTime that grows with the prompt; queued prompts take
  // this time.
  Duration MarginalPrefillTime(std::uint64_t prompt_tokens) const;
  // PrefillTime at a decode endpoint.
  Duration LocalPrefillTime(std::uint64_t prompt_tokens) const;
  Duration FirstEvent() const;
  Duration Pause() const;
  // The longest pause that a prompt computed at a decode endpoint causes in the
  // endpoint's other streams. Bounded by the time of the prompt, and by the
  // observed pauses that lay within the computation of a prompt.
  Duration PromptPause(std::uint64_t prompt_tokens) const;
  double TokenMs() const;
  Duration Call() const;

  ReportedValue ForFigure(Figure figure) const;
  // Whether any figure was learned.
  bool HasObservations() const;
  ForecastDigest Report() const;
  // Adopts the figures of a peer, under the rules of LearnedValue::Adopt.
  void Adopt(const ForecastDigest& reported);

 private:
  LearnedLine prefill;  // ms by tokens
  LearnedValue local_prefill_ratio;
  LearnedValue first_event;
  LearnedValue pause;
  LearnedValue prompt_pause;
  LearnedValue token;
  LearnedValue call;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_SERVICE_FORECAST_H_
