#include "entry/internal/request_router.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "entry/internal/direct_once.h"
#include "once/work_key.h"

namespace acacialug::entry {
namespace {

// How long a queue stays blocked when no endpoint has capacity and none reports
// free capacity.
constexpr Duration kNoCapacityPause = 10ms;
// A timer that is late by this time indicates a process stall (see NoteStall).
// It is below the shortest response timeout, which is the 300 ms of
// EntryOptions::reserve_timeout.
constexpr Duration kMinStall = 100ms;
// Time for one iteration of the event loop, which reads the sockets before it
// fires the timers.
constexpr Duration kSocketReadTime = 20ms;
// Time in which an agent of another region answers messages that had not left
// this process before it stalled.
constexpr Duration kAgentAnswerTime = 200ms;

template <typename Message>
concept HasAttempt = requires(const Message& message) {
  message.attempt;
};

const AttemptId* AttemptOf(const protocol::AgentToEntry& message) {
  return std::visit(
      [](const auto& content) -> const AttemptId* {
        if constexpr (HasAttempt<std::decay_t<decltype(content)>>) {
          return &content.attempt;
        } else {
          return nullptr;
        }
      },
      message);
}

// True for messages that show that the agent holds something for the attempt.
bool ShowsHeldResource(const protocol::AgentToEntry& message) {
  return std::holds_alternative<protocol::Reserved>(message) ||
         std::holds_alternative<protocol::Prefilled>(message) ||
         std::holds_alternative<protocol::Chunk>(message);
}

std::unique_ptr<IOnceCoordinator> MakeOnce(const EntryOptions& options) {
  if (options.make_once) {
    return options.make_once(options);
  }
  return std::make_unique<DirectOnce>();
}

}  // namespace

RequestRouter::RequestRouter(EntryOptions entry_options,
                             RandomSource& random_source)
    : options(std::move(entry_options)),
      random(random_source),
      fleet(this->options,
            this->random,
            this->actions,
            [this](const ServiceName& service) {
              const auto found = this->services.find(service);
              if (found != this->services.end()) {
                found->second->Unblock();
                this->services_to_dispatch.insert(service);
              }
            }),
      budget({.share = this->options.retry_share,
              .burst = this->options.retry_burst}),
      once(MakeOnce(this->options)) {}

RequestContext RequestRouter::Context() {
  return {.options = this->options,
          .fleet = this->fleet,
          .budget = this->budget,
          .once = *this->once,
          .counters = this->counters,
          .random = this->random,
          .actions = this->actions,
          .no_timeout_before = this->no_timeout_before};
}

ServiceState& RequestRouter::StateOf(const manifest::Service& service) {
  std::unique_ptr<ServiceState>& state = this->services[service.name];
  if (!state) {
    state = std::make_unique<ServiceState>(service, this->options);
  }
  return *state;
}

void RequestRouter::OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                               Instant now) {
  this->BeginInput(now);
  if (newest && (!this->manifest || newest->offset > this->manifest->offset)) {
    this->manifest = std::move(newest);
    this->fleet.Apply(this->manifest, now);
  }
  this->FinishInput(now);
}

// ---- events ----

void RequestRouter::OnCallerGone(RequestId request, Instant now) {
  this->BeginInput(now);
  const auto found = this->machines.find(request);
  if (found != this->machines.end()) {
    found->second->Abandon(now);
    this->OnMachineChanged(*found->second, now);
  }
  this->FinishInput(now);
}

void RequestRouter::OnDelivered(RequestId request,
                                std::uint64_t index,
                                Instant now) {
  this->BeginInput(now);
  const auto found = this->machines.find(request);
  if (found != this->machines.end()) {
    found->second->OnDelivered(index, now);
    this->OnMachineChanged(*found->second, now);
  }
  this->FinishInput(now);
}

void RequestRouter::OnEndpointConnected(const EndpointId& endpoint,
                                        Instant now) {
  this->BeginInput(now);
  this->fleet.OnConnected(endpoint, now);
  this->FinishInput(now);
}

void RequestRouter::OnEndpointClosed(const EndpointId& endpoint, Instant now) {
  this->BeginInput(now);
  this->fleet.OnClosed(endpoint, now);
  this->FinishInput(now);
}

void RequestRouter::OnMessage(const EndpointId& endpoint,
                              const protocol::AgentToEntry& message,
                              Instant now) {
  this->BeginInput(now);
  if (!this->fleet.OnMessage(endpoint, message, now)) {
    const AttemptId& attempt = *AttemptOf(message);
    const auto found = this->machines.find(attempt.request);
    if (found != this->machines.end()) {
      found->second->OnMessage(endpoint, message, now);
      this->OnMachineChanged(*found->second, now);
    } else {
      ++this->counters.dropped_frames;
      if (ShowsHeldResource(message)) {
        this->fleet.Send(endpoint, protocol::Cancel{.attempt = attempt}, now);
      }
    }
    const auto* refused = std::get_if<protocol::Refused>(&message);
    if (refused != nullptr && refused->code == ResultCode::kSessionUnknown) {
      this->fleet.Reopen(endpoint, now);
    }
  }
  this->FinishInput(now);
}

void RequestRouter::OnHeartbeat(const EndpointId& endpoint,
                                const heartbeat::SessionRenewal& renewal,
                                Instant now) {
  this->BeginInput(now);
  this->fleet.OnHeartbeat(endpoint, renewal, now);
  this->FinishInput(now);
}

void RequestRouter::OnClaimsAppended(const ClaimsAppended& appended,
                                     Instant now) {
  this->BeginInput(now);
  this->once->OnClaimsAppended(appended, now);
  this->FinishInput(now);
}

void RequestRouter::OnClaimsRead(const ClaimsRead& read, Instant now) {
  this->BeginInput(now);
  this->once->OnClaimsRead(read, now);
  this->FinishInput(now);
}

Result<std::string> RequestRouter::IssueTicket(
    const ServiceName& service,
    std::chrono::milliseconds wall_clock,
    Instant now) {
  this->BeginInput(now);
  if (!this->manifest) {
    return Error(ResultCode::kNotReady);
  }
  const manifest::Service* const record = this->manifest->FindService(service);
  if (record == nullptr || record->kind != manifest::ServiceKind::kPlain) {
    return Error(ResultCode::kUnknownService, service.text);
  }
  const placement::Candidates usable =
      this->fleet.Usable(service, protocol::EndpointRole::kPlain);
  if (usable.empty()) {
    return Error(ResultCode::kNoEndpoint, service.text);
  }
  const EndpointId& home = usable[this->random.Below(usable.size())]->Id();
  return once::EncodeTicket(
      once::IssueTicket({.endpoint = home, .agent = this->fleet.AgentOf(home)},
                        wall_clock, this->random));
}

void RequestRouter::OnLeavingHosts(const std::set<HostId>& hosts, Instant now) {
  this->BeginInput(now);
  this->fleet.SetLeavingHosts(hosts);
  this->FinishInput(now);
}

void RequestRouter::OnLiveEntries(std::uint32_t entries, Instant now) {
  this->rates.SetShardCount(
      std::max(entries, 1U) * std::max(this->options.shards, 1U), now);
}

// ---- around each event ----

// After a stall longer than a lease, the process resumes with sessions that its
// agents have dropped. If it handled an event before it drops them too, it
// could start work on a reservation that another entry now holds.
void RequestRouter::BeginInput(Instant now) {
  this->NoteStall(now);
  this->fleet.OnTimer(now);
  this->TakeLostWork(now);
}

void RequestRouter::TakeLostWork(Instant now) {
  for (const LostWork& lost : this->fleet.TakeLost()) {
    const auto found = this->machines.find(lost.request);
    if (found != this->machines.end()) {
      this->ReportProgress({.request = lost.request,
                            .progress = Progress::kEndpointLost,
                            .endpoint = lost.endpoint,
                            .at = now});
      found->second->OnEndpointLost(lost.endpoint, now);
      this->OnMachineChanged(*found->second, now);
    }
  }
}

void RequestRouter::TakeVerdicts(Instant now) {
  for (const OnceVerdict& verdict : this->once->TakeVerdicts()) {
    const RequestId request = std::visit(
        [](const auto& content) { return content.request; }, verdict);
    const auto found = this->machines.find(request);
    auto* const machine = found == this->machines.end()
                              ? nullptr
                              : dynamic_cast<CallMachine*>(found->second.get());
    if (machine != nullptr) {
      machine->OnVerdict(verdict, now);
      this->OnMachineChanged(*machine, now);
    }
  }
  for (EntryAction& action : this->once->TakeActions()) {
    this->actions.push_back(std::move(action));
  }
}

void RequestRouter::FinishInput(Instant now) {
  this->TakeLostWork(now);
  this->TakeVerdicts(now);
  while (!this->services_to_dispatch.empty()) {
    const ServiceName service = *this->services_to_dispatch.begin();
    this->services_to_dispatch.erase(this->services_to_dispatch.begin());
    this->DispatchQueued(service, now);
    this->TakeVerdicts(now);
  }
}

// Updates the queue, the timer and the table of requests to the machine's new
// state.
void RequestRouter::OnMachineChanged(RequestMachine& machine, Instant now) {
  const RequestId request = machine.Terms().request;
  this->services_to_dispatch.insert(machine.Terms().service->name);
  if (machine.State() == RequestState::kDone) {
    this->Erase(request);
    return;
  }
  if (machine.State() == RequestState::kWaiting &&
      !this->queued.contains(request)) {
    this->Enqueue(machine, false, now);
  }
  // A timer that fires early costs one check. Rearming it for each chunk of
  // each stream would cost more.
  const Instant wake = std::max(machine.WakeAt(), now);
  if (wake < this->timers.At(request)) {
    this->timers.Arm(request, wake);
  }
}

void RequestRouter::Enqueue(RequestMachine& machine,
                            bool arrived,
                            Instant now) {
  const RequestId request = machine.Terms().request;
  const manifest::LatencyClass& latency_class = *machine.Terms().latency_class;
  this->queued.insert(request);
  this->ReportProgress(
      {.request = request, .progress = Progress::kQueued, .at = now});
  if (machine.Resuming()) {
    machine.Service().PushResumed(request);
    return;
  }
  if (!arrived) {
    machine.Service().Restore(latency_class, machine.QueueRecord());
    return;
  }
  const auto refused =
      machine.Service().Push(latency_class, machine.QueueRecord());
  if (refused) {
    this->queued.erase(*refused);
    RequestMachine& refused_machine = *this->machines.at(*refused);
    refused_machine.Refuse(ResultCode::kOverloaded,
                           refused_machine.Service().RetryAfter(), now);
    if (&refused_machine != &machine) {
      this->Erase(*refused);
    }
  }
}

void RequestRouter::Erase(const RequestId& request) {
  const auto found = this->machines.find(request);
  if (found == this->machines.end()) {
    return;
  }
  if (this->queued.erase(request) > 0) {
    found->second->Service().Remove(request);
  }
  this->timers.Disarm(request);
  this->machines.erase(found);
}

void RequestRouter::DispatchQueued(const ServiceName& name, Instant now) {
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return;
  }
  ServiceState& state = *service->second;
  while (!state.Blocked(now)) {
    const auto request = state.Pop();
    if (!request) {
      return;
    }
    this->queued.erase(*request);
    RequestMachine& machine = *this->machines.at(*request);
    machine.Dispatch(now);
    if (machine.State() == RequestState::kActive) {
      this->ReportProgress(
          {.request = *request, .progress = Progress::kDispatched, .at = now});
    }
    if (machine.State() == RequestState::kWaiting && !state.Blocked(now)) {
      state.BlockUntil(now + kNoCapacityPause);
    }
    this->OnMachineChanged(machine, now);
  }
  this->unblocks.Arm(name, state.Queued() > 0 ? state.BlockedUntil() : kNever);
}

// ---- time ----

// Guards against false timeouts after a process stall: if the timers ran before
// the process reads what arrived in the meantime, healthy agents would count as
// unresponsive, engines as stalled and readers as slow. A timer that is late by
// more than the event loop's usual delay indicates a stall. The timers then
// wait until the sockets were read, and no response timeout takes effect before
// the process has had time to receive answers. Sessions still lapse
// immediately, by their leases.
void RequestRouter::NoteStall(Instant now) {
  const Instant due = this->NextTimer();
  // Timeouts are not deferred again before one could take effect. Otherwise a
  // process whose timers are always late would wait for a dead agent forever.
  const bool timeouts_applied = this->fired_at >= this->no_timeout_before ||
                                due > this->no_timeout_before;
  if (!timeouts_applied || due == kNever || due == Instant{} ||
      now - due < kMinStall) {
    return;
  }
  this->timers_held_until = now + kSocketReadTime;
  this->no_timeout_before = now + kAgentAnswerTime;
  this->fleet.DeferTimeouts(this->no_timeout_before);
}

void RequestRouter::ReportProgress(const ProgressNote& note) const {
  if (this->options.on_progress) {
    this->options.on_progress(note);
  }
}

void RequestRouter::RunTimers(Instant now) {
  while (const auto service = this->unblocks.PopDue(now)) {
    this->services_to_dispatch.insert(*service);
  }
  if (now < this->timers_held_until) {
    return;
  }
  this->fired_at = now;
  while (const auto request = this->timers.PopDue(now)) {
    const auto found = this->machines.find(*request);
    if (found == this->machines.end()) {
      continue;
    }
    found->second->OnTimer(now);
    this->OnMachineChanged(*found->second, now);
  }
  this->once->OnTimer(now);
}

void RequestRouter::OnTimer(Instant now) {
  this->BeginInput(now);
  this->RunTimers(now);
  this->FinishInput(now);
}

Instant RequestRouter::NextTimer() const {
  const Instant held = std::min(this->timers.Next(), this->once->NextTimer());
  return std::min({this->fleet.NextTimer(), this->unblocks.Next(),
                   std::max(held, this->timers_held_until)});
}

EntryCounters RequestRouter::Counters() const {
  EntryCounters counted = this->counters;
  counted.sessions_lost = this->fleet.SessionsLost();
  return counted;
}

std::vector<EntryAction> RequestRouter::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace acacialug::entry
