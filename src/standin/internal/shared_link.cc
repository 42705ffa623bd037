#include "standin/internal/shared_link.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acacialug::standin {
namespace {

// Rounding to microseconds leaves a remainder of at most this time's bytes.
constexpr double kRoundingSeconds = 2e-6;

}  // namespace

void SharedLink::Start(std::uint64_t id, double bytes, Instant now) {
  this->AdvanceClock(now);
  this->remaining[id] = bytes;
}

void SharedLink::Cancel(std::uint64_t id, Instant now) {
  this->AdvanceClock(now);
  this->remaining.erase(id);
}

void SharedLink::SetRate(double bytes_per_second, Instant now) {
  this->AdvanceClock(now);
  this->rate = bytes_per_second;
}

Instant SharedLink::next_end() const {
  if (this->remaining.empty() || this->rate <= 0) {
    return kNever;
  }
  double least = std::numeric_limits<double>::max();
  for (const auto& [id, bytes] : this->remaining) {
    least = std::min(least, bytes);
  }
  const double seconds =
      least * static_cast<double>(this->remaining.size()) / this->rate;
  return this->moved_to +
         Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

std::vector<std::uint64_t> SharedLink::TakeEnded(Instant now) {
  this->AdvanceClock(now);
  std::vector<std::uint64_t> ended;
  for (const auto& [id, bytes] : this->remaining) {
    if (bytes <= this->rate * kRoundingSeconds && this->rate > 0) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    this->remaining.erase(id);
  }
  return ended;
}

void SharedLink::AdvanceClock(Instant now) {
  if (now <= this->moved_to) {
    return;
  }
  const double seconds = Seconds(now - this->moved_to);
  this->moved_to = now;
  if (this->remaining.empty()) {
    return;
  }
  const double share =
      seconds * this->rate / static_cast<double>(this->remaining.size());
  for (auto& [id, bytes] : this->remaining) {
    bytes -= share;
  }
}

}  // namespace acacialug::standin
