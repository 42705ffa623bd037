#ifndef ENTRY_INTERNAL_SERVICE_STATE_H_
#define ENTRY_INTERNAL_SERVICE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/adaptive_limit.h"
#include "admission/fair_queue.h"
#include "admission/prediction_margin.h"
#include "entry/internal/token_estimator.h"
#include "entry/types/entry_options.h"
#include "manifest/types/manifest.h"
#include "placement/prefill_picker.h"
#include "placement/types/pick_rule.h"

namespace acacialug::entry {

// What one entry's shard knows and decides for one service: its queues, its
// concurrency limit, how its endpoints are picked, and what was learnt of its
// timing. Outlives manifests. Not thread safe.
class ServiceState {
 public:
  ServiceState(const manifest::Service& service, const EntryOptions& options);

  // ---- the queues, one a class; a smaller priority goes first ----

  // Queues a new request. The result is the one refused for it (see
  // FairQueue::Push).
  std::optional<RequestId> Push(const manifest::LatencyClass& latency_class,
                                const admission::Waiting& waiting);
  // Puts one back that was taken and found no place.
  void Restore(const manifest::LatencyClass& latency_class,
               const admission::Waiting& waiting);
  // A request that has answered in part already goes before all others.
  void PushResumed(const RequestId& request);
  // The next one in turn, if the limit admits it now. A resumed one is not
  // held back by the limit: its caller waits in the middle of an answer.
  std::optional<RequestId> Pop();
  void Remove(const RequestId& request);
  std::size_t Queued() const;

  // ---- while no endpoint has room ----

  void BlockUntil(Instant until) { this->blocked_until = until; }
  void Unblock() { this->blocked_until = Instant{}; }
  bool Blocked(Instant now) const { return now < this->blocked_until; }
  Instant BlockedUntil() const { return this->blocked_until; }

  // ---- retry advice ----

  // A request of this service was answered, or at least begun.
  void NoteStarted(Instant now);
  // How long one more would wait behind those that wait now, by the pace at
  // which waiting ones were begun lately; zero until that is known.
  Duration QueueWait() const;
  // When a refused request may try again.
  Duration RetryAfter() const;

  admission::AdaptiveLimit limit;
  admission::PredictionMargin margin{{}};
  TokenEstimator tokens;
  placement::PickRule pick_decode;
  placement::PickRule pick_prefill;
  placement::PickRule pick_call;
  placement::PrefillPicker prefill_picker{{}};

 private:
  admission::FairQueue& QueueOf(const manifest::LatencyClass& latency_class);
  void SetPickRules(const EntryOptions& options);

  QueueOrder order;
  std::uint32_t queue_limit;
  // By priority, then name.
  std::map<std::pair<std::int32_t, std::string>, admission::FairQueue> queues;
  std::deque<RequestId> resumed;
  Instant blocked_until{};
  Instant last_start_at{};
  // The last one; its successor gives a pace.
  bool started_while_queued = false;
  Duration start_interval{};
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_SERVICE_STATE_H_
