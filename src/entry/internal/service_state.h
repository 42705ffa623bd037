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

// State of one service at one entry's shard: its queues, its concurrency limit,
// its rules for picking endpoints, and its measured timing. It outlives
// manifests. Not thread safe.
class ServiceState {
 public:
  ServiceState(const manifest::Service& service, const EntryOptions& options);

  // ---- queues, one per class; a smaller priority goes first ----

  // Queues a new request. Returns the request that is refused in exchange, if
  // any (see FairQueue::Push).
  std::optional<RequestId> Push(const manifest::LatencyClass& latency_class,
                                const admission::Waiting& waiting);
  // Puts back a request that was popped and found no free slot.
  void Restore(const manifest::LatencyClass& latency_class,
               const admission::Waiting& waiting);
  // Queues a request that was answered in part; it precedes all others.
  void PushResumed(const RequestId& request);
  // Takes the next request, if the limit admits it now. The limit does not
  // apply to a resumed request, since its caller waits in the middle of an
  // answer.
  std::optional<RequestId> Pop();
  void Remove(const RequestId& request);
  std::size_t Queued() const;

  // ---- blocking while no endpoint has capacity ----

  void BlockUntil(Instant until) { this->blocked_until = until; }
  void Unblock() { this->blocked_until = Instant{}; }
  bool Blocked(Instant now) const { return now < this->blocked_until; }
  Instant BlockedUntil() const { return this->blocked_until; }

  // ---- retry advice ----

  // The answer to a request of this service has begun or completed.
  void NoteStarted(Instant now);
  // Returns how long a new request would wait behind those that wait now, by
  // the recent interval between starts of waiting requests; zero until it is
  // known.
  Duration QueueWait() const;
  // Returns after which time a refused request may be retried.
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
  // True if requests were queued at the last start; the interval to the next
  // start is then measured.
  bool started_while_queued = false;
  Duration start_interval{};
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_SERVICE_STATE_H_
