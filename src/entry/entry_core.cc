#include "entry/entry_core.h"

#include <utility>

#include "entry/internal/request_router.h"

namespace acacialug::entry {

class EntryCore::Implementation : public RequestRouter {
 public:
  using RequestRouter::RequestRouter;
};

EntryCore::EntryCore(EntryOptions options, RandomSource& random)
    : implementation(
          std::make_unique<Implementation>(std::move(options), random)) {}

EntryCore::~EntryCore() = default;

void EntryCore::OnManifest(std::shared_ptr<const manifest::Manifest> newest,
                           Instant now) {
  this->implementation->OnManifest(std::move(newest), now);
}

void EntryCore::OnGeneration(const GenerationArrived& arrived, Instant now) {
  this->implementation->OnGeneration(arrived, now);
}

void EntryCore::OnCall(const CallArrived& arrived, Instant now) {
  this->implementation->OnCall(arrived, now);
}

void EntryCore::OnCallerGone(RequestId request, Instant now) {
  this->implementation->OnCallerGone(request, now);
}

void EntryCore::OnDelivered(RequestId request,
                            std::uint64_t index,
                            Instant now) {
  this->implementation->OnDelivered(request, index, now);
}

void EntryCore::OnEndpointConnected(const EndpointId& endpoint, Instant now) {
  this->implementation->OnEndpointConnected(endpoint, now);
}

void EntryCore::OnEndpointClosed(const EndpointId& endpoint, Instant now) {
  this->implementation->OnEndpointClosed(endpoint, now);
}

void EntryCore::OnMessage(const EndpointId& endpoint,
                          const protocol::AgentToEntry& message,
                          Instant now) {
  this->implementation->OnMessage(endpoint, message, now);
}

void EntryCore::OnHeartbeat(const EndpointId& endpoint,
                            const heartbeat::SessionRenewal& renewal,
                            Instant now) {
  this->implementation->OnHeartbeat(endpoint, renewal, now);
}

void EntryCore::SetRenewInterval(Duration interval) {
  this->implementation->SetRenewInterval(interval);
}

void EntryCore::OnClaimsAppended(const ClaimsAppended& appended, Instant now) {
  this->implementation->OnClaimsAppended(appended, now);
}

void EntryCore::OnClaimsRead(const ClaimsRead& read, Instant now) {
  this->implementation->OnClaimsRead(read, now);
}

Result<std::string> EntryCore::IssueTicket(const ServiceName& service,
                                           std::chrono::milliseconds wall_clock,
                                           Instant now) {
  return this->implementation->IssueTicket(service, wall_clock, now);
}

void EntryCore::OnLeavingHosts(const std::set<HostId>& hosts, Instant now) {
  this->implementation->OnLeavingHosts(hosts, now);
}

void EntryCore::OnLiveEntries(std::uint32_t entries, Instant now) {
  this->implementation->OnLiveEntries(entries, now);
}

void EntryCore::OnTimer(Instant now) {
  this->implementation->OnTimer(now);
}

void EntryCore::BeginDrain(Instant) {
  this->implementation->BeginDrain();
}

bool EntryCore::drained() const {
  return this->implementation->Drained();
}

Instant EntryCore::next_timer() const {
  return this->implementation->NextTimer();
}

std::vector<EntryAction> EntryCore::TakeActions() {
  return this->implementation->TakeActions();
}

std::size_t EntryCore::alive_requests() const {
  return this->implementation->AliveRequests();
}

EntryCounters EntryCore::counters() const {
  return this->implementation->Counters();
}

}  // namespace acacialug::entry
