#include "gateway/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace acacialug::gateway {
namespace {

// Without any work of its own a process still gets its share of what others
// free: the rate of one stream that ends each second.
constexpr double kMinTokensPerSecond = 4000;
// The last part of the longest return time is drawn at random, so that those
// who are sent away for the longest do not come together.
constexpr double kReturnSpread = 0.3;

auto OrderOf(const AdmissionQueue::Ticket& ticket) {
  return std::tuple(ticket.priority, ticket.rank, ticket.arrived);
}

}  // namespace

AdmissionQueue::AdmissionQueue(Options queue_options)
    : options(queue_options), hold(queue_options.first_hold) {}

Duration AdmissionQueue::TimeToFree(std::uint64_t kv_tokens) const {
  const double rate =
      std::max(kMinTokensPerSecond,
               static_cast<double>(this->taken) / Seconds(this->hold));
  return FromSeconds(static_cast<double>(kv_tokens) / rate);
}

bool AdmissionQueue::AnyAheadOf(const Ticket& ticket) const {
  return !this->tickets.empty() &&
         OrderOf(this->tickets.front()) <= OrderOf(ticket);
}

AdmissionQueue::Decision AdmissionQueue::CheckAdmission(
    const Ticket& ticket) const {
  std::uint64_t ahead = ticket.kv_tokens;
  for (const Ticket& other : this->tickets) {
    if (OrderOf(other) <= OrderOf(ticket)) {
      ahead += other.kv_tokens;
    }
  }
  const Duration wait = this->TimeToFree(ahead);
  const Duration longest = ticket.rank == TicketRank::kLate
                               ? this->options.max_late_wait
                               : this->options.max_wait;
  return {.admitted = wait <= longest, .expected_wait = wait};
}

Duration AdmissionQueue::NextRetryDelay(std::uint64_t kv_tokens,
                                        Duration time_left,
                                        Instant now,
                                        RandomSource& random) {
  const Duration least =
      std::max(this->options.min_retry,
               FromSeconds(Seconds(time_left) * this->options.min_retry_share));
  const Duration longest =
      std::max(least, std::min(this->options.max_retry,
                               FromSeconds(Seconds(time_left) *
                                           this->options.max_retry_share)));
  const Duration turn = FromSeconds(Seconds(this->TimeToFree(kv_tokens)) /
                                    this->options.return_share);
  this->next_retry = std::max(this->next_retry + turn, now + least);
  // A queue outside that is longer than callers wait is no queue.
  this->next_retry = std::min(this->next_retry, now + longest);
  const Duration spread =
      longest - FromSeconds(Seconds(longest) * kReturnSpread * random.Unit());
  return std::min(this->next_retry - now, spread);
}

void AdmissionQueue::Push(const Ticket& ticket) {
  const auto behind =
      std::upper_bound(this->tickets.begin(), this->tickets.end(), ticket,
                       [](const Ticket& left, const Ticket& right) {
                         return OrderOf(left) < OrderOf(right);
                       });
  this->tickets.insert(behind, ticket);
  this->waiting += ticket.kv_tokens;
}

bool AdmissionQueue::Remove(TicketId ticket) {
  const auto found = std::find_if(
      this->tickets.begin(), this->tickets.end(),
      [ticket](const Ticket& other) { return other.id == ticket; });
  if (found == this->tickets.end()) {
    return false;
  }
  this->waiting -= found->kv_tokens;
  this->tickets.erase(found);
  return true;
}

const AdmissionQueue::Ticket* AdmissionQueue::Front() const {
  return this->tickets.empty() ? nullptr : &this->tickets.front();
}

std::vector<TicketId> AdmissionQueue::Expired(Instant now) const {
  std::vector<TicketId> given_up;
  for (const Ticket& ticket : this->tickets) {
    if (now >= ticket.expires_at) {
      given_up.push_back(ticket.id);
    }
  }
  return given_up;
}

void AdmissionQueue::NoteAllocated(std::uint64_t kv_tokens) {
  this->taken += kv_tokens;
}

void AdmissionQueue::NoteReleased(std::uint64_t kv_tokens, Duration held) {
  this->taken -= std::min(this->taken, kv_tokens);
  this->hold += Duration(static_cast<Duration::rep>(
      this->options.hold_weight *
      static_cast<double>((held - this->hold).count())));
}

}  // namespace acacialug::gateway
