#include "gateway/admission_queue.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// Without any work of its own a process still gets its share of what others
// free: the rate of one stream that ends each second.
constexpr double kLeastTokensPerSecond = 4000;

}  // namespace

AdmissionQueue::AdmissionQueue(Options queue_options)
    : options(queue_options), hold(queue_options.first_hold) {}

Duration AdmissionQueue::TimeToFree(std::uint64_t kv_tokens) const {
  const double rate =
      std::max(kLeastTokensPerSecond,
               static_cast<double>(this->taken) / Seconds(this->hold));
  return FromSeconds(static_cast<double>(kv_tokens) / rate);
}

Duration AdmissionQueue::RetryAfter(std::uint64_t kv_tokens) const {
  return std::clamp(this->TimeToFree(this->waiting + kv_tokens),
                    this->options.least_retry, this->options.longest_retry);
}

AdmissionQueue::Verdict AdmissionQueue::Ask(const Ticket& ticket,
                                            Instant now) const {
  std::uint64_t ahead = 0;
  for (const Ticket& other : this->tickets) {
    if (other.priority <= ticket.priority) {
      ahead += other.kv_tokens;
    }
  }
  Verdict verdict{.expected_wait = this->TimeToFree(ahead + ticket.kv_tokens)};
  verdict.admitted = now + verdict.expected_wait <=
                     ticket.latest_start + this->options.lateness;
  if (!verdict.admitted) {
    verdict.retry_after = this->RetryAfter(ticket.kv_tokens);
  }
  return verdict;
}

void AdmissionQueue::Push(const Ticket& ticket) {
  const auto behind = std::upper_bound(
      this->tickets.begin(), this->tickets.end(), ticket,
      [](const Ticket& left, const Ticket& right) {
        return left.priority < right.priority;
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

std::vector<TicketId> AdmissionQueue::TooLate(Instant now) const {
  std::vector<TicketId> late;
  for (const Ticket& ticket : this->tickets) {
    if (now > ticket.latest_start + this->options.lateness) {
      late.push_back(ticket.id);
    }
  }
  return late;
}

void AdmissionQueue::NoteTaken(std::uint64_t kv_tokens) {
  this->taken += kv_tokens;
}

void AdmissionQueue::NoteGiven(std::uint64_t kv_tokens, Duration held) {
  this->taken -= std::min(this->taken, kv_tokens);
  this->hold += Duration(static_cast<Duration::rep>(
      this->options.hold_weight *
      static_cast<double>((held - this->hold).count())));
}

}  // namespace acacialug::gateway
