#ifndef AGENT_INTERNAL_TOKEN_PACE_H_
#define AGENT_INTERNAL_TOKEN_PACE_H_

#include <cstdint>

#include "framework/global/types/instant.h"

namespace acacialug::agent {

// The pace of this engine's streams and the share of the requested length that
// they use, smoothed over recent streams. Not thread safe.
class TokenPace {
 public:
  explicit TokenPace(Duration initial_interval);

  // A stream made `tokens` in `elapsed`. Zero tokens have no effect.
  void OnTokens(Duration elapsed, std::uint32_t tokens);

  // A stream ended after `produced` of the `requested` tokens.
  void OnFinished(std::uint32_t produced, std::uint32_t requested);

  Duration interval() const;

  // The remaining time that a stream is expected to take.
  Duration Remaining(std::uint32_t produced, std::uint32_t requested) const;

 private:
  double interval_seconds;
  double used_share = 1.0;  // of the requested length
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_TOKEN_PACE_H_
