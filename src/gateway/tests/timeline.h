#ifndef GATEWAY_TESTS_TIMELINE_H_
#define GATEWAY_TESTS_TIMELINE_H_

#include <functional>
#include <map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::gateway::testing {

// Virtual time: what is to happen, in its order.
class Timeline {
 public:
  explicit Timeline(Instant start) : now(start) {}

  void At(Instant when, std::function<void()> what) {
    this->events.emplace(when, std::move(what));
  }
  void RunUntil(Instant end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto next = this->events.extract(this->events.begin());
      this->now = next.key();
      next.mapped()();
    }
  }

  Instant now;

 private:
  std::multimap<Instant, std::function<void()>> events;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_TIMELINE_H_
