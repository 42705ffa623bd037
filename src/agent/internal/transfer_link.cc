#include "agent/internal/transfer_link.h"

#include <algorithm>

#include "agent/internal/bounded_time.h"

namespace acacialug::agent {

TransferLink::Answer TransferLink::Book(const AttemptId& attempt,
                                        std::uint64_t bytes,
                                        Duration ready_in,
                                        Instant now) {
  this->ForgetPast(now);
  if (this->options.bytes_per_second == 0 || bytes == 0) {
    return {};
  }
  const Duration length =
      BoundedSeconds(static_cast<double>(bytes) /
                     static_cast<double>(this->options.bytes_per_second));
  const Instant ready = After(now, ready_in);
  const Duration slack = std::max<Duration>(
      Duration::zero(), this->options.export_lifetime - length);
  // Guards against finished prefills that are evicted after a decode endpoint
  // died, while the other links are partly idle. Their reservations were lost,
  // and new ones were refused because of windows that were booked for prefills
  // still to be computed. Those windows can be moved, but an export cannot
  // wait.
  const bool is_ready = ready_in == Duration::zero();
  const Instant start = this->FirstGap(ready, length, is_ready);
  if (start > ready + slack) {
    return {.granted = false, .retry_after = start - (ready + slack)};
  }
  this->Insert({.start = start,
                .end = start + length,
                .attempt = attempt,
                .ready = is_ready});
  return {};
}

void TransferLink::Begin(const AttemptId& attempt, Instant now) {
  const auto found = this->by_attempt.find(attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  const Duration length = found->second.end - found->second.start;
  this->Release(attempt);
  const Instant start = this->FirstGap(now, length, false);
  this->Insert({.start = start,
                .end = start + length,
                .attempt = attempt,
                .ready = true});
}

void TransferLink::Release(const AttemptId& attempt) {
  const auto found = this->by_attempt.find(attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  this->windows.erase(found->second);
  this->by_attempt.erase(found);
}

Instant TransferLink::FirstGap(Instant from,
                               Duration length,
                               bool only_ready) const {
  Instant start = from;
  for (const Window& window : this->windows) {
    if (only_ready && !window.ready) {
      continue;
    }
    if (window.start >= start + length) {
      break;
    }
    start = std::max(start, window.end);
  }
  return start;
}

void TransferLink::Insert(const Window& window) {
  this->Release(window.attempt);
  this->windows.insert(window);
  this->by_attempt.emplace(window.attempt, window);
}

void TransferLink::ForgetPast(Instant now) {
  while (!this->windows.empty() && this->windows.begin()->end <= now) {
    this->Release(this->windows.begin()->attempt);
  }
}

}  // namespace acacialug::agent
