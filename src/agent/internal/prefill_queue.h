#ifndef AGENT_INTERNAL_PREFILL_QUEUE_H_
#define AGENT_INTERNAL_PREFILL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/types/agent_options.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// An admitted prefill that was not given to the engine yet.
struct QueuedPrefill {
  protocol::StartPrefill start;
  double work = 0;       // prompt tokens that it is expected to compute
  Instant latest_start;  // a later start cannot finish in time
  Instant deadline;
  Instant predicted;         // expected end, at admission
  std::uint64_t number = 0;  // of arrival
};

// The bounded queue before a prefill engine. Smaller priorities go first; among
// equal priorities the order hook decides, and then the arrival. Not thread
// safe.
class PrefillQueue {
 public:
  // True when the first goes before the second; a strict weak order.
  using OrderHook =
      std::function<bool(const QueuedPrefill&, const QueuedPrefill&)>;

  static OrderHook HookOf(PrefillOrder order);

  PrefillQueue(std::size_t queue_limit, OrderHook hook);

  // Replaces the attempt's earlier entry. Precondition: !full().
  void Add(QueuedPrefill prefill);
  // The prefill to run next; empty when the queue is empty.
  std::optional<QueuedPrefill> TakeNext();
  // An unknown attempt is no error.
  void Remove(const AttemptId& attempt);
  // Removes the prefills whose latest start has passed.
  std::vector<QueuedPrefill> Expire(Instant now);

  // The work that would run before this prefill if it were added now.
  double WorkBefore(const QueuedPrefill& prefill) const;
  double total_work() const { return this->work; }
  bool full() const { return this->prefills.size() >= this->limit; }
  bool Contains(const AttemptId& attempt) const;
  std::size_t size() const { return this->prefills.size(); }
  std::vector<AttemptId> attempts() const;
  Instant next_timer() const { return this->latest_starts.next(); }

 private:
  struct Before {
    OrderHook hook;
    bool operator()(const QueuedPrefill* left,
                    const QueuedPrefill* right) const;
  };

  QueuedPrefill TakeOut(const AttemptId& attempt);

  std::size_t limit;
  Before before;
  std::unordered_map<AttemptId, QueuedPrefill> prefills;
  std::set<const QueuedPrefill*, Before> order;
  DeadlineSet<AttemptId> latest_starts;
  double work = 0;
  std::uint64_t arrivals = 0;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_PREFILL_QUEUE_H_
