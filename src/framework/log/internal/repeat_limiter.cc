#include "framework/log/repeat_limiter.h"

#include <algorithm>
#include <utility>

namespace acacialug::log {

std::optional<std::uint64_t> RepeatLimiter::Allow(std::string_view event,
                                                  Instant now) {
  const std::lock_guard lock(this->mutex);
  EventState& state = this->StateOf(event, now);
  if (now - state.window_start >= this->options.window) {
    state.window_start = now;
    state.passed = 0;
  }
  if (state.passed >= this->options.lines_per_window) {
    ++state.suppressed;
    return std::nullopt;
  }
  ++state.passed;
  return std::exchange(state.suppressed, 0);
}

RepeatLimiter::EventState& RepeatLimiter::StateOf(std::string_view event,
                                                  Instant now) {
  const auto known = this->states.find(event);
  if (known != this->states.end()) {
    return known->second;
  }
  if (this->states.size() >= this->options.max_events) {
    this->states.erase(std::min_element(
        this->states.begin(), this->states.end(),
        [](const auto& left, const auto& right) {
          return left.second.window_start < right.second.window_start;
        }));
  }
  return this->states.emplace(event, EventState{.window_start = now})
      .first->second;
}

}  // namespace acacialug::log
