#ifndef ENTRY_INTERNAL_REQUEST_MACHINE_H_
#define ENTRY_INTERNAL_REQUEST_MACHINE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "admission/fair_queue.h"
#include "entry/internal/fleet.h"
#include "entry/internal/service_state.h"
#include "entry/types/entry_counters.h"
#include "entry/types/entry_messages.h"
#include "entry/types/entry_options.h"
#include "retry/retry_budget.h"

namespace acacialug::entry {

class IOnceCoordinator;

// What the machines of all requests share.
struct RequestContext {
  const EntryOptions& options;
  Fleet& fleet;
  retry::RetryBudget& budget;
  IOnceCoordinator& once;
  EntryCounters& counters;
  RandomSource& random;
  std::vector<EntryAction>& actions;
  const Instant& no_timeout_before;  // moves when this process stood still
};

// What is fixed about a request from its arrival on; it keeps the manifest
// under which it began.
struct RequestTerms {
  RequestId request;
  CallerName caller;
  double share = 1.0;
  std::shared_ptr<const manifest::Manifest> manifest;
  const manifest::Service* service = nullptr;  // in the manifest
  const manifest::LatencyClass* latency_class = nullptr;
  Instant arrival{};
  Instant deadline{};        // the caller's
  Instant first_token_by{};  // the target of the class
};

enum class RequestState : std::uint8_t {
  kWaiting,  // belongs into its service's queue
  kActive,
  kDone,  // answered, or its caller is gone
};
inline constexpr EnumNames<RequestState, 3> kRequestStateNames = {{
    {RequestState::kWaiting, "waiting"},
    {RequestState::kActive, "active"},
    {RequestState::kDone, "done"},
}};

// The life of one request, from the queue to its one final answer. Not thread
// safe; `now` never goes backwards.
class RequestMachine {
 public:
  RequestMachine(RequestContext shared,
                 RequestTerms fixed,
                 ServiceState& service_state);
  virtual ~RequestMachine() = default;

  // Its turn in the queue has come. Leaves it kWaiting when no endpoint can
  // take it now. Precondition: state() is kWaiting.
  virtual void Dispatch(Instant now) = 0;
  virtual void OnMessage(const EndpointId& endpoint,
                         const protocol::AgentToEntry& message,
                         Instant now) = 0;
  virtual void OnEndpointLost(const EndpointId& endpoint, Instant now) = 0;
  virtual void OnDelivered(std::uint64_t index, Instant now) = 0;
  // Call at or after WakeAt().
  virtual void OnTimer(Instant now) = 0;
  virtual Instant WakeAt() const = 0;
  // The latest moment at which starting it still meets its target, if
  // nothing is queued ahead of it.
  virtual Instant LatestStart() const = 0;
  // Gives back all that is held, without an answer.
  virtual void Abandon(Instant now) = 0;

  // Answers as refused: nothing ran. Precondition: that is so.
  void Refuse(ResultCode code, Duration retry_after, Instant now);

  RequestState State() const { return this->state; }
  // It was answered in part: goes before all that wait.
  bool Resuming() const { return this->resuming; }
  const RequestTerms& Terms() const { return this->terms; }
  ServiceState& Service() { return this->service; }
  virtual admission::Waiting QueueRecord() const;

 protected:
  AttemptId Attempt(AttemptNumber number) const;
  // The one final answer of a request that does not complete.
  void Fail(ResultCode code,
            protocol::Outcome outcome,
            Duration retry_after,
            Instant now);
  void Emit(EntryAction action) {
    this->context.actions.push_back(std::move(action));
  }
  // When somebody who stays silent until `at` may be judged by it.
  Instant DeferTimeout(Instant at) const {
    return std::max(at, this->context.no_timeout_before);
  }
  // The last moment until which it may wait for its turn.
  Instant WaitDeadline() const;

  RequestContext context;
  RequestTerms terms;
  ServiceState& service;
  RequestState state = RequestState::kWaiting;
  bool resuming = false;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_REQUEST_MACHINE_H_
