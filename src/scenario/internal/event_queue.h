#ifndef SCENARIO_INTERNAL_EVENT_QUEUE_H_
#define SCENARIO_INTERNAL_EVENT_QUEUE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::scenario {

// Virtual time, with a queue of tasks. Tasks of the same instant run in the
// order in which they were added. Not thread safe.
class EventQueue {
 public:
  Instant now() const { return this->time; }
  Instant next() const {
    return this->tasks.empty() ? kNever : this->tasks.begin()->first;
  }

  void At(Instant at, std::function<void()> task) {
    this->tasks.emplace(std::max(at, this->time), std::move(task));
  }
  void After(Duration delay, std::function<void()> task) {
    this->At(this->time + delay, std::move(task));
  }

  void AdvanceTo(Instant at) { this->time = std::max(this->time, at); }
  // Precondition: next() is not kNever.
  void RunNext() {
    auto next = this->tasks.extract(this->tasks.begin());
    this->AdvanceTo(next.key());
    next.mapped()();
  }

 private:
  Instant time{1000s};
  std::multimap<Instant, std::function<void()>> tasks;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_EVENT_QUEUE_H_
