#ifndef GATEWAY_REPEAT_BUDGET_H_
#define GATEWAY_REPEAT_BUDGET_H_

#include <cstdint>
#include <deque>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// Bounds the repeats that a service gets beyond the first arrival of each
// request, over a sliding window and over all processes together: a share of
// the requests, and a fixed allowance. Each process uses only its part of the
// allowance, so that the bound also holds while the processes receive no
// reports from each other; and in its first window little of that, since its
// predecessor may have used the part. (RetryBudget, whose balance grows with
// successes, has no window and would allow a burst after an hour of low load.)
// Not thread safe.
class RepeatBudget {
 public:
  struct Options {
    double share = 0.2;
    double extra = 58;  // repeats of all processes in a window
    Duration window = 10s;
    // Factor on both. The rest covers requests that are counted here at other
    // times than where the bound is checked.
    double margin = 0.75;
    Instant started_at{};  // of this process
  };

  explicit RepeatBudget(Options budget_options) : options(budget_options) {}

  // A request for the service arrived.
  void NoteRequest(Instant now);

  // Whether another `repeats` are allowed now. `processes` share the fixed
  // allowance, this process included; 0: their number is not known yet, and
  // this process uses none of the allowance.
  bool Allows(Instant now, std::size_t processes, std::uint32_t repeats = 1);

  // The same, and counts them if they are allowed.
  bool TryTake(Instant now, std::size_t processes, std::uint32_t repeats = 1);

  // Requests and repeats in the window, as of the latest call.
  std::size_t requests() const { return this->request_times.size(); }
  std::size_t repeats() const { return this->repeat_times.size(); }

 private:
  void Expire(Instant now);
  double FixedPart(Instant now, std::size_t processes) const;

  const Options options;
  std::deque<Instant> request_times;
  std::deque<Instant> repeat_times;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_REPEAT_BUDGET_H_
