#ifndef HEARTBEAT_HEARTBEAT_BUDGET_H_
#define HEARTBEAT_HEARTBEAT_BUDGET_H_

#include <cstdint>

#include "framework/global/types/instant.h"

namespace acacialug::heartbeat {

// The length of a session's lease in renewal intervals: two consecutive
// renewals may be lost.
inline constexpr int kIntervalsPerLease = 3;

// The bytes of a renewal by frames, both directions together: frames of 34 and
// 87 bytes, and three TCP segments (one is the acknowledgement of the answer)
// with headers of 52 bytes. TLS overhead is not included.
inline constexpr double kFrameRenewalBytes = 34 + 87 + 3 * 52;

// Computes how often sessions may be renewed within a budget of bytes, sent and
// received together. Immutable, so thread safe.
class HeartbeatBudget {
 public:
  struct Options {
    double bytes_per_second = 6000;  // the control budget of one node
    Duration shortest = 1s;          // lower bound, however few peers there are
    Duration longest = 10s;  // upper bound, also of the lease, at any cost
  };

  // Precondition: shortest <= longest and bytes_per_second > 0.
  explicit HeartbeatBudget(Options budget_options) : options(budget_options) {}

  // The time between two renewals of one session, when renewing all sessions
  // once takes `bytes_per_round`.
  Duration Interval(double bytes_per_round) const;

  // False if the renewals exceed the budget even at the longest interval.
  bool Holds(double bytes_per_round) const;

  Duration longest() const { return this->options.longest; }

 private:
  Options options;
};

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_HEARTBEAT_BUDGET_H_
