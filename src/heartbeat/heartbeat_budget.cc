#include "heartbeat/heartbeat_budget.h"

#include <algorithm>

namespace acacialug::heartbeat {

Duration HeartbeatBudget::Interval(double bytes_per_round) const {
  const double seconds = bytes_per_round / this->options.bytes_per_second;
  // Clamped before the conversion to an integer, as bytes_per_round is
  // unbounded.
  const double bounded = std::min(seconds, Seconds(this->options.longest));
  return std::max(FromSeconds(bounded), this->options.shortest);
}

bool HeartbeatBudget::Holds(double bytes_per_round) const {
  return bytes_per_round <=
         this->options.bytes_per_second * Seconds(this->options.longest);
}

}  // namespace acacialug::heartbeat
