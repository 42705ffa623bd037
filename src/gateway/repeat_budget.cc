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

bool RepeatBudget::Allows(Instant now,
                          std::size_t processes,
                          std::uint32_t repeats) {
  this->Expire(now);
  const double allowed =
      this->options.margin *
      (this->options.share * static_cast<double>(this->request_times.size()) +
       this->options.extra /
           static_cast<double>(std::max<std::size_t>(processes, 1)));
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
