#ifndef AGENT_INTERNAL_PREFILL_FORECAST_H_
#define AGENT_INTERNAL_PREFILL_FORECAST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// How long prefills take at this engine, learnt from those that it did, and
// how far recent predictions were off. Work is counted in prompt tokens that
// are not in the engine's prefix cache. Not thread safe.
class PrefillForecast {
 public:
  explicit PrefillForecast(double initial_tokens_per_second);

  // The engine was given this much work.
  void OnDispatched(const AttemptId& attempt, double work, Instant now);
  // It finished; `work` is what it really had to compute.
  void OnFinished(const AttemptId& attempt, double work, Instant now);
  // It gave up or was told to. Teaches nothing.
  void OnDropped(const AttemptId& attempt, Instant now);

  // A prefill ended so much later (or, negative, earlier) than predicted
  // when it was admitted.
  void OnError(Duration late, Instant now);

  Duration TimeFor(double work) const;
  // Until the engine has done what it was given.
  Duration Remaining(Instant now) const;
  // To be added to a prediction: the 0.9 quantile of how late recent ones
  // were. Halves with every kMarginHalfLife without news, or else a margin
  // that refuses all work would never learn that it is too wide.
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
