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

// State shared by the machines of all requests.
struct RequestContext {
  const EntryOptions& options;
  Fleet& fleet;
  retry::RetryBudget& budget;
  IOnceCoordinator& once;
  EntryCounters& counters;
  RandomSource& random;
  std::vector<EntryAction>& actions;
  const Instant& no_timeout_before;  // later after a process stall
};

// Properties of a request that are fixed at its arrival. The request keeps the
// manifest that was active then.
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
  kWaiting,  // belongs in its service's queue
  kActive,
  kDone,  // answered, or its caller disconnected
};
inline constexpr EnumNames<RequestState, 3> kRequestStateNames = {{
    {RequestState::kWaiting, "waiting"},
    {RequestState::kActive, "active"},
    {RequestState::kDone, "done"},
}};

// Handles one request from the queue to its single final answer. Not thread
// safe; `now` never goes backwards.
class RequestMachine {
 public:
  RequestMachine(RequestContext shared,
                 RequestTerms fixed,
                 ServiceState& service_state);
  virtual ~RequestMachine() = default;

  // The queue released the request. It stays kWaiting when no endpoint can take
  // it now. Precondition: State() is kWaiting.
  virtual void Dispatch(Instant now) = 0;
  virtual void OnMessage(const EndpointId& endpoint,
                         const protocol::AgentToEntry& message,
                         Instant now) = 0;
  virtual void OnEndpointLost(const EndpointId& endpoint, Instant now) = 0;
  virtual void OnDelivered(std::uint64_t index, Instant now) = 0;
  // Call at or after WakeAt().
  virtual void OnTimer(Instant now) = 0;
  virtual Instant WakeAt() const = 0;
  // Returns the latest moment at which a start still meets the target, if no
  // request is queued ahead.
  virtual Instant LatestStart() const = 0;
  // Releases everything that is held, without an answer.
  virtual void Abandon(Instant now) = 0;

  // Answers that the request was refused. Precondition: nothing ran.
  void Refuse(ResultCode code, Duration retry_after, Instant now);

  RequestState State() const { return this->state; }
  // True if the request was answered in part; it precedes all waiting requests.
  bool Resuming() const { return this->resuming; }
  const RequestTerms& Terms() const { return this->terms; }
  ServiceState& Service() { return this->service; }
  virtual admission::Waiting QueueRecord() const;

 protected:
  AttemptId Attempt(AttemptNumber number) const;
  // Sends the single final answer of a request that does not complete.
  void Fail(ResultCode code,
            protocol::Outcome outcome,
            Duration retry_after,
            Instant now);
  void Emit(EntryAction action) {
    this->context.actions.push_back(std::move(action));
  }
  // Returns when a response timeout that ends at `at` may take effect, given
  // the stalls of this process.
  Instant DeferTimeout(Instant at) const {
    return std::max(at, this->context.no_timeout_before);
  }
  // Returns the moment until which the request may wait in the queue.
  Instant WaitDeadline() const;

  RequestContext context;
  RequestTerms terms;
  ServiceState& service;
  RequestState state = RequestState::kWaiting;
  bool resuming = false;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_REQUEST_MACHINE_H_
