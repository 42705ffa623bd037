#ifndef SCENARIO_INTERNAL_PROCESS_H_
#define SCENARIO_INTERNAL_PROCESS_H_

#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::scenario {

// One incarnation of a process. Input that arrives while it is paused is
// queued, and handled in order when it resumes, at the time of that moment. Not
// thread safe.
class Process {
 public:
  explicit Process(std::string process_name) : name(std::move(process_name)) {}
  virtual ~Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& Name() const { return this->name; }
  bool alive() const { return this->running; }
  bool paused() const { return this->stopped; }

  // Runs `input` and then the resulting actions, now or after the pause; never
  // if the process has ended.
  void Feed(std::function<void()> input) {
    if (!this->running) {
      return;
    }
    if (this->stopped) {
      this->inputs.push_back(std::move(input));
      return;
    }
    input();
    this->Pump();
  }

  void Pause() { this->stopped = true; }
  void Resume() {
    this->stopped = false;
    while (!this->inputs.empty() && !this->stopped) {
      const auto input = std::move(this->inputs.front());
      this->inputs.pop_front();
      this->Feed(input);
    }
  }
  void End() {
    this->running = false;
    this->inputs.clear();
  }

  // kNever while the process does not run.
  Instant NextTimer() const {
    return this->running && !this->stopped ? this->DueAt() : kNever;
  }
  void RunTimers() {
    this->Feed([this] { this->OnDue(); });
  }

 protected:
  // Executes the actions that the aggregates of this process request.
  virtual void Pump() = 0;
  virtual Instant DueAt() const = 0;
  virtual void OnDue() = 0;

 private:
  std::string name;
  bool running = true;
  bool stopped = false;
  std::deque<std::function<void()>> inputs;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_PROCESS_H_
