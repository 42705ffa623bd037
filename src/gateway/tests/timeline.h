#ifndef GATEWAY_TESTS_TIMELINE_H_
#define GATEWAY_TESTS_TIMELINE_H_

#include <functional>
#include <map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::gateway::testing {

// Virtual time: runs each event at its time, in the order of the times.
class Timeline {
 public:
  explicit Timeline(Instant start) : now(start) {}

  void At(Instant at, std::function<void()> event) {
    this->events.emplace(at, std::move(event));
  }
  void RunUntil(Instant end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto next = this->events.extract(this->events.begin());
      this->now = next.key();
      next.mapped()();
    }
  }

  // The same in steps, with `after_step` after each.
  void RunInSteps(Instant end,
                  Duration step,
                  const std::function<void()>& after_step) {
    for (Instant next = this->now + step; next <= end; next += step) {
      this->RunUntil(next);
      this->now = next;
      after_step();
    }
  }

  Instant now;

 private:
  std::multimap<Instant, std::function<void()>> events;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_TIMELINE_H_
