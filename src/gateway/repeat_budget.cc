#include "gateway/repeat_budget.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// Max entries of a window, which bounds its memory under a flood of requests.
// Dropped entries only make the budget smaller.
constexpr std::size_t kMaxEntries = 20000;

void DropBefore(std::deque<Instant>& times, Instant oldest) {
  while (!times.empty() &&
         (times.front() <= oldest || times.size() > kMaxEntries)) {
    times.pop_front();
  }
}

}  // namespace

void RepeatBudget::Expire(Instant now) {
  DropBefore(this->request_times, now - this->options.window);
  DropBefore(this->repeat_times, now - this->options.window);
}

void RepeatBudget::NoteRequest(Instant now) {
  this->request_times.push_back(now);
  this->Expire(now);
}

// A process may be restarted any number of times in a window. Its part grows
// with its uptime to what the margin leaves free, so that all its lives in one
// window use no more than that beside the part of the life before them.
double RepeatBudget::FixedPart(Instant now, std::size_t processes) const {
  if (processes == 0) {
    return 0;
  }
  const double part = this->options.extra / static_cast<double>(processes);
  const Duration uptime = now - this->options.started_at;
  if (uptime >= this->options.window) {
    return part;
  }
  const double free_share =
      std::min(1.0, (1 - this->options.margin) / this->options.margin);
  return part * free_share * Seconds(uptime) / Seconds(this->options.window);
}

bool RepeatBudget::Allows(Instant now,
                          std::size_t processes,
                          std::uint32_t repeats) {
  this->Expire(now);
  const double allowed =
      this->options.margin *
      (this->options.share * static_cast<double>(this->request_times.size()) +
       this->FixedPart(now, processes));
  return static_cast<double>(this->repeat_times.size() + repeats) <= allowed;
}

bool RepeatBudget::TryTake(Instant now,
                           std::size_t processes,
                           std::uint32_t repeats) {
  if (!this->Allows(now, processes, repeats)) {
    return false;
  }
  this->repeat_times.insert(this->repeat_times.end(), repeats, now);
  return true;
}

}  // namespace acacialug::gateway
