#ifndef HEARTBEAT_HEARTBEAT_BUDGET_H_
#define HEARTBEAT_HEARTBEAT_BUDGET_H_

#include <cstdint>

#include "framework/global/types/instant.h"

namespace acacialug::heartbeat {

// A session's lease in intervals between its renewals: two may be lost.
inline constexpr int kIntervalsPerLease = 3;

// What a renewal by frames costs, both ways: 34 and 87 bytes of frames, and
// three TCP segments (the answer's acknowledgement is one) with headers of 52
// bytes. TLS is not in it.
inline constexpr double kFrameRenewalBytes = 34 + 87 + 3 * 52;

// How often sessions may be renewed within a budget of bytes, sent and
// received together. Immutable, so thread safe.
class HeartbeatBudget {
 public:
  struct Options {
    double bytes_per_second = 6000;  // the control budget of one node
    Duration shortest = 1s;          // however few the peers are
    Duration longest = 10s;          // bounds the lease, whatever they cost
  };

  // Precondition: shortest is not above longest, bytes_per_second above zero.
  explicit HeartbeatBudget(Options budget_options) : options(budget_options) {}

  // Between two renewals of one session, when one round of all of them costs
  // `bytes_per_round`.
  Duration Interval(double bytes_per_round) const;

  // False: even at the longest interval the rounds cost more.
  bool Holds(double bytes_per_round) const;

  Duration longest() const { return this->options.longest; }

 private:
  Options options;
};

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_HEARTBEAT_BUDGET_H_
