#ifndef FORECAST_SERVICE_FORECAST_H_
#define FORECAST_SERVICE_FORECAST_H_

#include <cstdint>

#include "forecast/learned_line.h"
#include "forecast/learned_value.h"
#include "forecast/types/forecast_digest.h"
#include "framework/global/types/instant.h"

namespace acacialug::forecast {

// How long work takes at the engines of one service, learned from what this
// process and its peers have seen of it. What one endpoint differs from the
// others is not here (gateway::EndpointHealth::Slowness).
//
// Without it the same constants served every engine: a pool that reads 15
// prompt tokens a millisecond, half of what they said, was given half of the
// prefill endpoints that it needs, and its prompts were computed at decode
// endpoints, where they held up every stream beyond its limit.
//
// Each figure has a prior, which is that of the engines at the planned size,
// and gives way to what is seen within some five observations. Not thread safe.
class ServiceForecast {
 public:
  ServiceForecast();

  // A prefill endpoint computed a prompt in `took`, with `ahead` tokens of
  // others' prompts not yet computed there when it was asked. Passed over when
  // more than the prompt itself was ahead: how much of that was done already
  // is not known.
  void NotePrefill(std::uint64_t prompt_tokens,
                   std::uint64_t ahead,
                   Duration took);
  // A decode endpoint computed a prompt between the tokens of its streams.
  void NoteLocalPrefill(std::uint64_t prompt_tokens, Duration took);
  // A decode endpoint was sent a computed prompt, and made its first event.
  void NoteFirstEvent(Duration took);
  // Between two events of a stream, which stand for so many tokens;
  // `prompt_there`: a prompt was computed at its endpoint all the while.
  void NotePause(Duration pause, std::uint32_t tokens, bool prompt_there);

  // An endpoint answered a plain request.
  void NoteCall(Duration took);

  // At a prefill endpoint that does nothing else.
  Duration PrefillTime(std::uint64_t prompt_tokens) const;
  // The part of it that grows with the prompt: what is queued there takes that.
  Duration MarginalPrefillTime(std::uint64_t prompt_tokens) const;
  // At a decode endpoint.
  Duration LocalPrefillTime(std::uint64_t prompt_tokens) const;
  Duration FirstEvent() const;
  Duration Pause() const;
  // The longest pause that a prompt computed at a decode endpoint causes to its
  // other streams. No longer than the prompt takes, and than pauses were seen
  // to be while prompts were computed all along.
  Duration PromptPause(std::uint64_t prompt_tokens) const;
  double TokenMs() const;
  Duration Call() const;

  ReportedValue ForFigure(Figure figure) const;
  // Anything was learned.
  bool HasObservations() const;
  ForecastDigest Report() const;
  // What a peer told, as LearnedValue::Adopt.
  void Adopt(const ForecastDigest& told);

 private:
  LearnedLine prefill;  // ms by tokens
  LearnedValue own_prompt;
  LearnedValue first_event;
  LearnedValue pause;
  LearnedValue prompt_pause;
  LearnedValue token;
  LearnedValue call;
};

}  // namespace acacialug::forecast

#endif  // FORECAST_SERVICE_FORECAST_H_
