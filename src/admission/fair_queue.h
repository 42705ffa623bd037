#ifndef ADMISSION_FAIR_QUEUE_H_
#define ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::admission {

// A request that waits in the queue of its service and class.
struct Waiting {
  RequestId request;
  CallerName caller;
  double share = 1.0;  // the caller's weight; greater than 0
  double cost = 1.0;   // in any unit that is the same for the queue
  Instant arrival{};
  Instant deadline = kNever;
};

// The smaller rank goes first among one caller's requests.
using OrderRule = std::function<std::int64_t(const Waiting&)>;
OrderRule OrderByArrival();
OrderRule OrderByDeadline();
OrderRule OrderByNewest();

// A bounded queue that serves callers by their shares (start-time fair
// queueing, Goyal et al., 1996) and each caller's requests by an order rule.
// When the queue is full, the caller with the most queued requests in
// proportion to its share loses its last request, so that one caller's flood
// does not shut out the others. Every operation is O(log n). Not thread safe.
class FairQueue {
 public:
  struct Options {
    std::size_t limit = 256;
    OrderRule order = OrderByArrival();
  };

  explicit FairQueue(Options queue_options);

  // Queues a request. Returns the request that was evicted because the queue
  // was full, which may be the new one; empty when there was a free slot.
  // Precondition: not queued already.
  std::optional<RequestId> Push(const Waiting& waiting);

  // Puts a popped request back and refunds its cost to its caller.
  void Restore(const Waiting& waiting);

  // Takes the next request and charges its cost to its caller.
  std::optional<Waiting> Pop();

  // Returns true when the request was queued.
  bool Remove(const RequestId& request);

  std::size_t size() const { return this->by_request.size(); }
  bool empty() const { return this->by_request.empty(); }

 private:
  using Rank = std::pair<std::int64_t, RequestId>;

  struct CallerQueue {
    double share = 1.0;
    double start = 0;  // virtual start time of its next request
    std::map<Rank, Waiting> waiting;

    double WeightedLength() const {
      return static_cast<double>(this->waiting.size()) / this->share;
    }
  };
  using Callers = std::map<CallerName, CallerQueue>;

  void Insert(const Waiting& waiting);
  void Erase(Callers::iterator caller, const Rank& rank);
  void RemoveFromIndexes(const CallerName& name, const CallerQueue& caller);
  void AddToIndexes(const CallerName& name, const CallerQueue& caller);
  void ForgetIdle();

  Options options;
  double virtual_time = 0;
  Callers callers;
  // Callers with queued requests only.
  std::set<std::pair<double, CallerName>> by_start;
  std::set<std::pair<double, CallerName>> by_weighted_length;
  std::map<RequestId, std::pair<CallerName, Rank>> by_request;
};

}  // namespace acacialug::admission

#endif  // ADMISSION_FAIR_QUEUE_H_
