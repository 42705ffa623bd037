#include "gateway/repeat_budget.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// Bounds the memory of a window under a flood; what is forgotten only makes
// the budget smaller.
constexpr std::size_t kMaxKept = 20000;

void DropBefore(std::deque<Instant>& times, Instant oldest) {
  while (!times.empty() &&
         (times.front() <= oldest || times.size() > kMaxKept)) {
    times.pop_front();
  }
}

}  // namespace

void RepeatBudget::Expire(Instant now) {
  DropBefore(this->requests, now - this->options.window);
  DropBefore(this->taken, now - this->options.window);
}

void RepeatBudget::NoteRequest(Instant now) {
  this->requests.push_back(now);
  this->Expire(now);
}

bool RepeatBudget::Allows(Instant now,
                          std::size_t processes,
                          std::uint32_t repeats) {
  this->Expire(now);
  const double allowed =
      this->options.margin *
      (this->options.share * static_cast<double>(this->requests.size()) +
       this->options.extra /
           static_cast<double>(std::max<std::size_t>(processes, 1)));
  return static_cast<double>(this->taken.size() + repeats) <= allowed;
}

bool RepeatBudget::TryTake(Instant now,
                           std::size_t processes,
                           std::uint32_t repeats) {
  if (!this->Allows(now, processes, repeats)) {
    return false;
  }
  this->taken.insert(this->taken.end(), repeats, now);
  return true;
}

}  // namespace acacialug::gateway
