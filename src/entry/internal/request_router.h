#ifndef ENTRY_INTERNAL_REQUEST_ROUTER_H_
#define ENTRY_INTERNAL_REQUEST_ROUTER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "admission/caller_rates.h"
#include "entry/i_once_coordinator.h"
#include "entry/internal/call_machine.h"
#include "entry/internal/fleet.h"
#include "entry/internal/generation_machine.h"
#include "entry/internal/request_machine.h"
#include "entry/internal/service_state.h"
#include "entry/internal/timer_set.h"
#include "entry/types/entry_messages.h"
#include "entry/types/entry_options.h"
#include "framework/global/types/result.h"

namespace acacialug::entry {

// Implements EntryCore: forwards events to the machines of the requests, and
// dispatches waiting requests. The methods are those of EntryCore.
class RequestRouter {
 public:
  RequestRouter(EntryOptions entry_options, RandomSource& random_source);

  void OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now);
  void OnGeneration(const GenerationArrived& arrived, Instant now);
  void OnCall(const CallArrived& arrived, Instant now);
  void OnCallerGone(RequestId request, Instant now);
  void OnDelivered(RequestId request, std::uint64_t index, Instant now);
  void OnEndpointConnected(const EndpointId& endpoint, Instant now);
  void OnEndpointClosed(const EndpointId& endpoint, Instant now);
  void OnMessage(const EndpointId& endpoint,
                 const protocol::AgentToEntry& message,
                 Instant now);
  void OnHeartbeat(const EndpointId& endpoint,
                   const heartbeat::SessionRenewal& renewal,
                   Instant now);
  void SetRenewInterval(Duration interval) {
    this->options.renew_interval = interval;
  }
  void OnClaimsAppended(const ClaimsAppended& appended, Instant now);
  void OnClaimsRead(const ClaimsRead& read, Instant now);
  Result<std::string> IssueTicket(const ServiceName& service,
                                  std::chrono::milliseconds wall_clock,
                                  Instant now);
  void OnLeavingHosts(const std::set<HostId>& hosts, Instant now);
  void OnLiveEntries(std::uint32_t entries, Instant now);
  void OnTimer(Instant now);
  void BeginDrain() { this->draining = true; }
  bool Drained() const { return this->draining && this->machines.empty(); }
  Instant NextTimer() const;
  std::vector<EntryAction> TakeActions();
  std::size_t AliveRequests() const { return this->machines.size(); }
  EntryCounters Counters() const;

 private:
  using Machines =
      std::unordered_map<RequestId, std::unique_ptr<RequestMachine>>;

  // ---- arrival ----
  bool Admit(const RequestId& request,
             const Result<RequestTerms>& terms,
             Instant now);
  ResultCode ArrivalRefusal() const;
  void Refuse(const RequestId& request, ResultCode code, Duration retry_after);
  void Add(std::unique_ptr<RequestMachine> machine, Instant now);
  ServiceState& StateOf(const manifest::Service& service);
  RequestContext Context();

  // ---- around each event ----
  // Drops lapsed sessions before any other decision.
  void BeginInput(Instant now);
  // Carries out everything that the event made possible.
  void FinishInput(Instant now);
  void TakeLostWork(Instant now);
  void TakeVerdicts(Instant now);
  void OnMachineChanged(RequestMachine& machine, Instant now);
  void Enqueue(RequestMachine& machine, bool arrived, Instant now);
  void DispatchQueued(const ServiceName& service, Instant now);
  void Erase(const RequestId& request);
  void RunTimers(Instant now);
  void NoteStall(Instant now);
  void ReportProgress(const ProgressNote& note) const;

  EntryOptions options;
  RandomSource& random;
  std::vector<EntryAction> actions;
  // Handled by FinishInput.
  std::set<ServiceName> services_to_dispatch;
  Fleet fleet;
  retry::RetryBudget budget;
  EntryCounters counters;
  std::unique_ptr<IOnceCoordinator> once;
  admission::CallerRates rates;
  std::shared_ptr<const manifest::Manifest> manifest;
  std::map<ServiceName, std::unique_ptr<ServiceState>> services;
  Machines machines;
  std::set<RequestId> queued;
  TimerSet<RequestId> timers;
  TimerSet<ServiceName> unblocks;
  Instant timers_held_until{};  // except those of fleet and unblocks
  Instant no_timeout_before{};  // no response timeout ends before this
  Instant fired_at{};           // the last time that timers ran
  bool draining = false;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_REQUEST_ROUTER_H_
