#ifndef AGENT_INTERNAL_PREFILL_FORECAST_H_
#define AGENT_INTERNAL_PREFILL_FORECAST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Predicts the time of prefills at this engine from its finished prefills, and
// the error of recent predictions. Work is counted in prompt tokens that are
// not in the engine's prefix cache. Not thread safe.
class PrefillForecast {
 public:
  explicit PrefillForecast(double initial_tokens_per_second);

  // The engine was given this number of prompt tokens.
  void OnDispatched(const AttemptId& attempt, double work, Instant now);
  // The prefill finished; `work` is the number of tokens that it actually
  // computed.
  void OnFinished(const AttemptId& attempt, double work, Instant now);
  // The engine gave up the prefill or was ordered to. The forecast is not
  // updated.
  void OnDropped(const AttemptId& attempt, Instant now);

  // A prefill ended `late` later (if negative, earlier) than predicted when it
  // was admitted.
  void OnError(Duration late, Instant now);

  Duration TimeFor(double work) const;
  // The time until the engine has finished the work that it was given.
  Duration Remaining(Instant now) const;
  // The margin to be added to a prediction: the 0.9 quantile of the delays of
  // recent prefills. It halves with every kMarginHalfLife without a finished
  // prefill, since a margin that refuses all work would otherwise never be
  // corrected.
  Duration margin(Instant now) const;
  double tokens_per_second() const;

  static constexpr Duration kMarginHalfLife = 2s;

 private:
  struct Running {
    double work = 0;
    Instant since;
  };

  double RunningWork() const;

  static constexpr std::size_t kErrors = 32;

  double smoothed_tokens;
  double smoothed_seconds;
  Instant last_finish{};
  Instant busy_until{};
  std::unordered_map<AttemptId, Running> running;
  std::array<Duration, kErrors> errors{};
  std::size_t error_count = 0;
  Duration learnt_margin{};
  Instant learnt_at{};
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_PREFILL_FORECAST_H_
