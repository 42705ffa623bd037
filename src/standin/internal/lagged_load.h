#ifndef STANDIN_INTERNAL_LAGGED_LOAD_H_
#define STANDIN_INTERNAL_LAGGED_LOAD_H_

#include <deque>

#include "framework/global/types/instant.h"
#include "standin/types/engine_messages.h"

namespace acacialug::standin {

// An engine's load as it was some time ago. Not thread safe.
class LaggedLoad {
 public:
  LaggedLoad(Duration report_lag, const EngineLoad& first) : lag(report_lag) {
    this->history.push_back({.at = Instant::min(), .load = first});
  }

  // Sets the load from `now` on.
  void Record(const EngineLoad& load, Instant now) {
    this->history.push_back({.at = now, .load = load});
    this->DropOlder(now);
  }

  const EngineLoad& Report(Instant now) {
    this->DropOlder(now);
    return this->history.front().load;
  }

 private:
  struct Entry {
    Instant at;
    EngineLoad load;
  };

  void DropOlder(Instant now) {
    while (this->history.size() > 1 && this->history[1].at <= now - this->lag) {
      this->history.pop_front();
    }
  }

  Duration lag;
  std::deque<Entry> history;  // never empty
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_LAGGED_LOAD_H_
