#include "placement/endpoint_view.h"

#include <algorithm>
#include <utility>

#include "placement/types/hashing.h"

namespace acacialug::placement {
namespace {

constexpr double kLatencyWeight = 0.2;
constexpr double kRoundTripWeight = 0.2;
// Time that an agent needs to answer, in addition to the network round trip.
constexpr Duration kAnswerTime = 1ms;
// The minimum time until a full endpoint is expected to have a free slot.
constexpr Duration kMinWait = 2ms;

}  // namespace

EndpointView::EndpointView(Options view_options)
    : options(std::move(view_options)),
      key(HashText(this->options.id.text)),
      round_trip(2 * this->options.distance + kAnswerTime),
      corrections() {
  this->load.limit = this->options.slots;
  this->load.free_kv_tokens = this->options.kv_tokens;
  this->load.total_kv_tokens = this->options.kv_tokens;
  this->load.prefill_tokens_per_second =
      this->options.prefill_tokens_per_second;
  this->load.token_interval = this->options.token_interval;
}

void EndpointView::Report(const protocol::EndpointLoad& newest, Instant now) {
  this->load = newest;
  this->reported_at = now;
  while (this->count > 0 &&
         this->corrections[this->first].sent_at + this->round_trip <= now) {
    this->DropOldest();
  }
  if (this->HasCapacity(this->full_tokens)) {
    this->full_until = {};
  }
}

void EndpointView::NoteSent(const SentWork& work, Instant now) {
  if (this->count == kMaxCorrections) {
    this->DropOldest();
  }
  const std::size_t slot = (this->first + this->count) % kMaxCorrections;
  this->corrections[slot] = {.sent_at = now, .work = work};
  ++this->count;
  this->sum.kv_tokens += work.kv_tokens;
  this->sum.prefill_time += work.prefill_time;
}

void EndpointView::DropOldest() {
  const SentWork& work = this->corrections[this->first].work;
  this->sum.kv_tokens -= work.kv_tokens;
  this->sum.prefill_time -= work.prefill_time;
  this->first = (this->first + 1) % kMaxCorrections;
  --this->count;
}

void EndpointView::NoteRoundTrip(Duration measured) {
  this->round_trip +=
      FromSeconds(kRoundTripWeight * Seconds(measured - this->round_trip));
}

void EndpointView::NoteLatency(double measured) {
  if (this->latency == 0) {
    this->latency = measured;
    return;
  }
  this->latency += kLatencyWeight * (measured - this->latency);
}

std::uint32_t EndpointView::Limit() const {
  return this->load.limit == 0 ? this->options.slots : this->load.limit;
}

bool EndpointView::HasCapacity(std::uint64_t kv_tokens) const {
  const std::uint32_t limit = this->Limit();
  // A decode endpoint reports its reservations as queued.
  const std::uint64_t running =
      this->load.running + this->load.queued + this->count;
  const std::uint64_t taken = this->sum.kv_tokens + kv_tokens;
  return (limit == 0 || running < limit) &&
         (this->load.total_kv_tokens == 0 ||
          taken <= this->load.free_kv_tokens);
}

void EndpointView::NoteFull(std::uint64_t kv_tokens,
                            Duration free_in,
                            Instant now) {
  this->full_until = now + std::max(free_in, kMinWait);
  this->full_tokens = kv_tokens;
}

Duration EndpointView::SlotWait(std::uint64_t kv_tokens, Instant now) const {
  if (now < this->full_until && kv_tokens >= this->full_tokens) {
    return this->full_until - now;
  }
  if (this->HasCapacity(kv_tokens)) {
    return Duration::zero();
  }
  // Each stream sent since the report takes one of the next free slots.
  const auto ahead = static_cast<std::int64_t>(this->count) + 1;
  if (this->load.next_slot_in == Duration::zero()) {
    return kMinWait * ahead;  // it had a free slot until these were sent
  }
  // If the reported time has passed, a slot is free by now unless another entry
  // took it.
  const Duration reported = this->load.next_slot_in - (now - this->reported_at);
  return std::max(reported, Duration::zero()) * ahead;
}

Duration EndpointView::WorkAhead(Instant now) const {
  const Duration known = this->load.work_ahead + this->sum.prefill_time;
  return std::max(known - (now - this->reported_at), Duration::zero());
}

Duration EndpointView::PrefillTime(std::uint64_t tokens) const {
  const double rate = this->load.prefill_tokens_per_second > 0
                          ? this->load.prefill_tokens_per_second
                          : this->options.prefill_tokens_per_second;
  return FromSeconds(static_cast<double>(tokens) / rate);
}

Duration EndpointView::TransferTime(std::uint64_t bytes) const {
  if (this->options.link_bytes_per_second == 0) {
    return Duration::zero();
  }
  return FromSeconds(static_cast<double>(bytes) /
                     static_cast<double>(this->options.link_bytes_per_second));
}

double EndpointView::Occupancy() const {
  const double limit = std::max<double>(this->Limit(), 1);
  return static_cast<double>(this->load.running + this->load.queued +
                             this->count) /
         limit;
}

Duration EndpointView::TokenInterval() const {
  return this->load.token_interval > Duration::zero()
             ? this->load.token_interval
             : this->options.token_interval;
}

}  // namespace acacialug::placement
