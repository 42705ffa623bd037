#ifndef GATEWAY_REPEAT_BUDGET_H_
#define GATEWAY_REPEAT_BUDGET_H_

#include <cstdint>
#include <deque>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// Bounds what a service gets beyond the first arrival of each request, over a
// sliding window and over all processes together: a share of the requests, and
// a fixed allowance. Each process keeps to its part of the allowance, so that
// the bound holds also while none hears another. (RetryBudget, which saves up
// by successes, has no window and would allow a burst after a calm hour.) Not
// thread safe.
class RepeatBudget {
 public:
  struct Options {
    double share = 0.2;
    double extra = 58;  // of all processes, in a window
    Duration window = 10s;
    // Of both: what is left covers requests counted at other times here than
    // where the bound is judged.
    double margin = 0.75;
  };

  explicit RepeatBudget(Options budget_options) : options(budget_options) {}

  // A request for the service came.
  void NoteRequest(Instant now);

  // Whether `repeats` more are allowed now. `processes` share the extra, this
  // one included.
  bool Allows(Instant now, std::size_t processes, std::uint32_t repeats = 1);

  // The same, and counts them if so.
  bool TryTake(Instant now, std::size_t processes, std::uint32_t repeats = 1);

  std::size_t repeats() const { return this->taken.size(); }

 private:
  void Expire(Instant now);

  const Options options;
  std::deque<Instant> requests;
  std::deque<Instant> taken;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_REPEAT_BUDGET_H_
