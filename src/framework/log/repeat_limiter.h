#ifndef FRAMEWORK_LOG_REPEAT_LIMITER_H_
#define FRAMEWORK_LOG_REPEAT_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/instant.h"

namespace acacialug::log {

// Bounds how often each event is logged. Without it a peer that fails every
// request would fill the log at the request rate, and writing it would take
// the time of the requests that still work.
//
// Thread safe: one lock, held for a map lookup.
class RepeatLimiter {
 public:
  struct Options {
    Duration window = 1s;
    std::uint64_t lines_per_window = 5;
    // Events known at a time; beyond it the one whose window is oldest is
    // forgotten, with its count.
    std::size_t max_events = 256;
  };

  explicit RepeatLimiter(const Options& limiter_options)
      : options(limiter_options) {}

  // The number of lines held back since the last that passed, when this one
  // may pass; empty when it is held back too.
  std::optional<std::uint64_t> Allow(std::string_view event, Instant now);

 private:
  struct EventState {
    Instant window_start;
    std::uint64_t passed = 0;
    std::uint64_t suppressed = 0;
  };

  EventState& StateOf(std::string_view event, Instant now);

  const Options options;
  std::mutex mutex;
  std::map<std::string, EventState, std::less<>> states;  // guarded by mutex
};

}  // namespace acacialug::log

#endif  // FRAMEWORK_LOG_REPEAT_LIMITER_H_
