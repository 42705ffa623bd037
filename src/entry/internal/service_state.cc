#include "entry/internal/service_state.h"

#include <algorithm>

#include "placement/decode_picker.h"

namespace acacialug::entry {
namespace {

constexpr double kStartIntervalWeight = 0.1;
constexpr Duration kMaxInterval = 1s;
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 30s;

admission::OrderRule RuleOf(QueueOrder order) {
  switch (order) {
    case QueueOrder::kDeadline:
      return admission::OrderByDeadline();
    case QueueOrder::kNewest:
      return admission::OrderByNewest();
    case QueueOrder::kArrival:
      break;
  }
  return admission::OrderByArrival();
}

}  // namespace

ServiceState::ServiceState(const manifest::Service& service,
                           const EntryOptions& options)
    : limit(admission::AdaptiveLimit::Options{}),
      order(options.order),
      queue_limit(service.queue_limit) {
  this->SetPickRules(options);
}

void ServiceState::SetPickRules(const EntryOptions& options) {
  placement::PickRule baseline;
  switch (options.placement) {
    case PlacementPolicy::kPredicted:
      this->pick_decode = placement::PickDecodeByPrediction(options.sampled);
      this->pick_call = placement::PickCallByPrediction(options.sampled);
      this->pick_prefill = [this](placement::Candidates candidates,
                                  const placement::PlacementNeed& need,
                                  RandomSource& random) {
        return this->prefill_picker.Pick(candidates, need, random);
      };
      return;
    case PlacementPolicy::kRandom:
      baseline = placement::PickRandom();
      break;
    case PlacementPolicy::kRoundRobin:
      baseline = placement::PickRoundRobin();
      break;
    case PlacementPolicy::kLeastReported:
      baseline = placement::PickLeastReported();
      break;
  }
  this->pick_decode = baseline;
  this->pick_prefill = baseline;
  this->pick_call = baseline;
}

admission::FairQueue& ServiceState::QueueOf(
    const manifest::LatencyClass& latency_class) {
  const auto [found, created] = this->queues.try_emplace(
      {latency_class.priority, latency_class.name},
      admission::FairQueue::Options{.limit = this->queue_limit,
                                    .order = RuleOf(this->order)});
  return found->second;
}

std::optional<RequestId> ServiceState::Push(
    const manifest::LatencyClass& latency_class,
    const admission::Waiting& waiting) {
  return this->QueueOf(latency_class).Push(waiting);
}

void ServiceState::Restore(const manifest::LatencyClass& latency_class,
                           const admission::Waiting& waiting) {
  this->QueueOf(latency_class).Restore(waiting);
}

void ServiceState::PushResumed(const RequestId& request) {
  this->resumed.push_back(request);
}

std::optional<RequestId> ServiceState::Pop() {
  if (!this->resumed.empty()) {
    const RequestId request = this->resumed.front();
    this->resumed.pop_front();
    return request;
  }
  if (!this->limit.Admits()) {
    return std::nullopt;
  }
  for (auto& [key, queue] : this->queues) {
    if (const auto waiting = queue.Pop()) {
      return waiting->request;
    }
  }
  return std::nullopt;
}

void ServiceState::Remove(const RequestId& request) {
  std::erase(this->resumed, request);
  for (auto& [key, queue] : this->queues) {
    if (queue.Remove(request)) {
      return;
    }
  }
}

std::size_t ServiceState::Queued() const {
  std::size_t queued = this->resumed.size();
  for (const auto& [key, queue] : this->queues) {
    queued += queue.size();
  }
  return queued;
}

void ServiceState::NoteStarted(Instant now) {
  const bool queued_now = this->Queued() > 0;
  if (queued_now && this->started_while_queued) {
    const Duration interval = std::min(now - this->last_start_at, kMaxInterval);
    this->start_interval +=
        this->start_interval == Duration::zero()
            ? interval
            : FromSeconds(kStartIntervalWeight *
                          Seconds(interval - this->start_interval));
  }
  this->started_while_queued = queued_now;
  this->last_start_at = now;
}

Duration ServiceState::QueueWait() const {
  return static_cast<std::int64_t>(this->Queued()) * this->start_interval;
}

Duration ServiceState::RetryAfter() const {
  return std::clamp(this->QueueWait(), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace acacialug::entry
