#include "gateway/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace acacialug::gateway {
namespace {

// Min rate at which memory is expected to become free: that of one stream that
// ends each second. A process without work of its own still gets its share of
// the memory that other processes release.
constexpr double kMinTokensPerSecond = 4000;
// Share of the max retry delay that is drawn at random, so that callers with
// the max delay don't retry at the same time.
constexpr double kRetrySpread = 0.3;

auto SortKey(const AdmissionQueue::Ticket& ticket) {
  return std::tuple(ticket.priority, ticket.rank, ticket.arrived);
}

}  // namespace

AdmissionQueue::AdmissionQueue(Options queue_options)
    : options(queue_options), mean_hold(queue_options.first_hold) {}

Duration AdmissionQueue::TimeToFree(std::uint64_t kv_tokens) const {
  const double rate = std::max(kMinTokensPerSecond,
                               static_cast<double>(this->allocated_kv_tokens) /
                                   Seconds(this->mean_hold));
  return FromSeconds(static_cast<double>(kv_tokens) / rate);
}

bool AdmissionQueue::AnyAheadOf(const Ticket& ticket) const {
  return !this->tickets.empty() &&
         SortKey(this->tickets.front()) <= SortKey(ticket);
}

AdmissionQueue::Decision AdmissionQueue::CheckAdmission(
    const Ticket& ticket) const {
  std::uint64_t ahead = ticket.kv_tokens;
  for (const Ticket& other : this->tickets) {
    if (SortKey(other) <= SortKey(ticket)) {
      ahead += other.kv_tokens;
    }
  }
  const Duration wait = this->TimeToFree(ahead);
  const Duration max_wait = ticket.rank == TicketRank::kLate
                                ? this->options.max_late_wait
                                : this->options.max_wait;
  return {.admitted = wait <= max_wait, .expected_wait = wait};
}

Duration AdmissionQueue::NextRetryDelay(std::uint64_t kv_tokens,
                                        Duration time_left,
                                        Instant now,
                                        RandomSource& random) {
  const Duration min_delay =
      std::max(this->options.min_retry,
               FromSeconds(Seconds(time_left) * this->options.min_retry_share));
  const Duration max_delay =
      std::max(min_delay, std::min(this->options.max_retry,
                                   FromSeconds(Seconds(time_left) *
                                               this->options.max_retry_share)));
  const Duration interval = FromSeconds(Seconds(this->TimeToFree(kv_tokens)) /
                                        this->options.return_share);
  this->next_retry = std::max(this->next_retry + interval, now + min_delay);
  // Callers don't wait longer than the max delay, so retries are not scheduled
  // after it.
  this->next_retry = std::min(this->next_retry, now + max_delay);
  const Duration randomized_max =
      max_delay -
      FromSeconds(Seconds(max_delay) * kRetrySpread * random.Unit());
  return std::min(this->next_retry - now, randomized_max);
}

void AdmissionQueue::Push(const Ticket& ticket) {
  const auto behind =
      std::upper_bound(this->tickets.begin(), this->tickets.end(), ticket,
                       [](const Ticket& left, const Ticket& right) {
                         return SortKey(left) < SortKey(right);
                       });
  this->tickets.insert(behind, ticket);
  this->waiting_kv_tokens += ticket.kv_tokens;
}

bool AdmissionQueue::Remove(TicketId ticket) {
  const auto found = std::find_if(
      this->tickets.begin(), this->tickets.end(),
      [ticket](const Ticket& other) { return other.id == ticket; });
  if (found == this->tickets.end()) {
    return false;
  }
  this->waiting_kv_tokens -= found->kv_tokens;
  this->tickets.erase(found);
  return true;
}

const AdmissionQueue::Ticket* AdmissionQueue::Front() const {
  return this->tickets.empty() ? nullptr : &this->tickets.front();
}

std::vector<TicketId> AdmissionQueue::Expired(Instant now) const {
  std::vector<TicketId> expired;
  for (const Ticket& ticket : this->tickets) {
    if (now >= ticket.expires_at) {
      expired.push_back(ticket.id);
    }
  }
  return expired;
}

void AdmissionQueue::NoteAllocated(std::uint64_t kv_tokens) {
  this->allocated_kv_tokens += kv_tokens;
}

void AdmissionQueue::NoteReleased(std::uint64_t kv_tokens, Duration held) {
  this->allocated_kv_tokens -= std::min(this->allocated_kv_tokens, kv_tokens);
  this->mean_hold += Duration(static_cast<Duration::rep>(
      this->options.hold_weight *
      static_cast<double>((held - this->mean_hold).count())));
}

}  // namespace acacialug::gateway
