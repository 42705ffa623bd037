#include "entry/internal/fleet.h"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace acacialug::entry {
namespace {

constexpr Duration kSweepInterval = 1s;

template <typename Message>
concept HasLoad = requires(const Message& message) {
  message.load;
};

const protocol::EndpointLoad* LoadOf(const protocol::AgentToEntry& message) {
  return std::visit(
      [](const auto& content) -> const protocol::EndpointLoad* {
        if constexpr (HasLoad<std::decay_t<decltype(content)>>) {
          return &content.load;
        } else {
          return nullptr;
        }
      },
      message);
}

// True for messages after which a slot is likely free. A refusal is not one of
// them, since the refused request would be retried immediately without end.
bool FreesCapacity(const protocol::AgentToEntry& message) {
  return std::holds_alternative<protocol::Welcome>(message) ||
         std::holds_alternative<protocol::Renewed>(message) ||
         std::holds_alternative<protocol::Ended>(message) ||
         std::holds_alternative<protocol::CallAnswered>(message) ||
         std::holds_alternative<protocol::Prefilled>(message);
}

}  // namespace

Fleet::Fleet(const EntryOptions& entry_options,
             RandomSource& random_source,
             std::vector<EntryAction>& action_list,
             CapacityHook on_capacity_freed)
    : options(entry_options),
      random(random_source),
      actions(action_list),
      capacity_hook(std::move(on_capacity_freed)),
      working_set({.entry = entry_options.id,
                   .domain = entry_options.domain,
                   .size = entry_options.working_set}) {}

Fleet::Member* Fleet::Find(const EndpointId& endpoint) {
  const auto found = this->members.find(endpoint);
  return found == this->members.end() ? nullptr : found->second.get();
}

const Fleet::Member* Fleet::Find(const EndpointId& endpoint) const {
  const auto found = this->members.find(endpoint);
  return found == this->members.end() ? nullptr : found->second.get();
}

Fleet::Pool& Fleet::PoolOf(const Member& member) {
  return this->pools[{member.record.service, member.record.role}];
}

LogOffset Fleet::Offset() const {
  return this->manifest ? this->manifest->offset : LogOffset();
}

Fleet::Member& Fleet::FindOrAdd(const manifest::Endpoint& record) {
  std::unique_ptr<Member>& slot = this->members[record.id];
  if (!slot) {
    slot.reset(new Member{
        .record = record,
        .link =
            EndpointLink(record.id, this->options, this->random, this->actions),
        .view = placement::EndpointView(
            {.id = record.id,
             .distance = this->manifest->DistanceBetween(this->options.domain,
                                                         record.domain),
             .slots = record.slots,
             .kv_tokens = record.kv_tokens,
             .link_bytes_per_second = record.link_bytes_per_second})});
  }
  slot->record = record;
  return *slot;
}

void Fleet::ChooseWorkingSets() {
  for (auto& [key, pool] : this->pools) {
    pool.listed = 0;
  }
  for (const manifest::Endpoint& endpoint : this->manifest->endpoints) {
    ++this->pools[{endpoint.service, endpoint.role}].listed;
  }
  for (auto& [key, pool] : this->pools) {
    pool.members.clear();
    std::vector<EndpointId> ids;
    for (const manifest::Endpoint* const endpoint :
         this->working_set.Choose(*this->manifest, key.first, key.second)) {
      Member& member = this->FindOrAdd(*endpoint);
      member.wanted = true;
      pool.members.push_back(&member);
      ids.push_back(endpoint->id);
    }
    pool.ejection.SetMembers(ids);
  }
}

void Fleet::Apply(std::shared_ptr<const manifest::Manifest> newest,
                  Instant now) {
  this->manifest = std::move(newest);
  for (auto& [id, member] : this->members) {
    member->wanted = false;
  }
  this->ChooseWorkingSets();
  std::vector<EndpointId> unneeded;
  for (auto& [id, member] : this->members) {
    if (member->wanted) {
      member->link.Connect(now);
    } else if (member->attached.empty()) {
      member->link.Release(this->Offset());
      unneeded.push_back(id);
    }
    this->Rearm(*member);
  }
  for (auto& [key, pool] : this->pools) {
    this->Rebuild(pool);
  }
  for (const EndpointId& id : unneeded) {
    this->members.erase(id);
  }
  std::erase_if(this->pools,
                [](const auto& item) { return item.second.listed == 0; });
  this->sweep_at = std::min(this->sweep_at, now + kSweepInterval);
}

void Fleet::Rebuild(Pool& pool) {
  const std::size_t before = pool.usable.size();
  pool.usable.clear();
  for (Member* const member : pool.members) {
    if (member->link.State() == LinkState::kOpen && !member->leaving &&
        !member->record.leaving &&
        !this->leaving_hosts.contains(member->record.host) &&
        !pool.ejection.Ejected(member->record.id)) {
      pool.usable.push_back(&member->view);
    }
  }
  if (pool.usable.size() > before) {
    this->capacity_hook(pool.members.front()->record.service);
  }
}

void Fleet::SetLeavingHosts(const std::set<HostId>& hosts) {
  if (hosts == this->leaving_hosts) {
    return;
  }
  this->leaving_hosts = hosts;
  for (auto& [key, pool] : this->pools) {
    this->Rebuild(pool);
  }
}

void Fleet::Rearm(const Member& member) {
  this->timers.Arm(member.record.id, member.link.NextTimer());
}

void Fleet::OnConnected(const EndpointId& endpoint, Instant now) {
  Member* const member = this->Find(endpoint);
  if (member != nullptr) {
    member->link.OnConnected(this->Offset(), now);
    this->Rearm(*member);
  }
}

void Fleet::LoseSession(Member& member) {
  for (const RequestId& request : member.attached) {
    this->lost.push_back({.request = request, .endpoint = member.record.id});
  }
  member.attached.clear();
  this->Rebuild(this->PoolOf(member));
}

void Fleet::OnClosed(const EndpointId& endpoint, Instant now) {
  Member* const member = this->Find(endpoint);
  if (member == nullptr) {
    return;
  }
  const bool open = member->link.State() == LinkState::kOpen;
  member->link.OnClosed(now);
  this->sessions_lost += open ? 1 : 0;
  this->LoseSession(*member);
  this->Rearm(*member);
  this->DropUnneeded(*member);
}

void Fleet::NoteLoad(Member& member,
                     const protocol::EndpointLoad& load,
                     Instant now) {
  member.view.Report(load, now);
  this->SetLeaving(member, load.leaving, now);
}

void Fleet::SetLeaving(Member& member, bool leaving, Instant now) {
  if (leaving == std::exchange(member.leaving, leaving)) {
    return;
  }
  member.leaving_at = now;
  this->Rebuild(this->PoolOf(member));
}

bool Fleet::OnMessage(const EndpointId& endpoint,
                      const protocol::AgentToEntry& message,
                      Instant now) {
  Member* const member = this->Find(endpoint);
  if (member == nullptr) {
    return true;
  }
  if (const auto* welcome = std::get_if<protocol::Welcome>(&message)) {
    member->link.OnWelcome(*welcome, now);
    member->view.NoteRoundTrip(member->link.LastRoundTrip());
    member->leaving = welcome->load.leaving;
    this->Rebuild(this->PoolOf(*member));
  } else if (const auto* renewed = std::get_if<protocol::Renewed>(&message)) {
    member->link.OnRenewed(*renewed, now);
    member->view.NoteRoundTrip(member->link.LastRoundTrip());
  } else if (std::holds_alternative<protocol::Leaving>(message)) {
    this->SetLeaving(*member, true, now);
  }
  if (const protocol::EndpointLoad* const load = LoadOf(message)) {
    this->NoteLoad(*member, *load, now);
  }
  if (FreesCapacity(message)) {
    this->capacity_hook(member->record.service);
  }
  this->Rearm(*member);
  return std::holds_alternative<protocol::Welcome>(message) ||
         std::holds_alternative<protocol::Renewed>(message) ||
         std::holds_alternative<protocol::Leaving>(message);
}

void Fleet::OnHeartbeat(const EndpointId& endpoint,
                        const heartbeat::SessionRenewal& renewal,
                        Instant now) {
  Member* const member = this->Find(endpoint);
  if (member == nullptr || !member->link.OnHeartbeat(renewal, now)) {
    return;
  }
  member->view.NoteRoundTrip(member->link.LastRoundTrip());
  // Frames can overtake heartbeat answers. The answer to a heartbeat sent
  // before the agent reported that it leaves must not clear that state, or the
  // agent would get new work for up to one heartbeat interval.
  const bool stays = !renewal.leaving && renewal.sent_at > member->leaving_at;
  if (renewal.load) {
    member->view.Report(*renewal.load, now);
  }
  if (renewal.newest && (renewal.leaving || stays)) {
    this->SetLeaving(*member, renewal.leaving, now);
  }
  this->capacity_hook(member->record.service);
  this->Rearm(*member);
}

void Fleet::Reopen(const EndpointId& endpoint, Instant now) {
  Member* const member = this->Find(endpoint);
  if (member != nullptr && member->link.State() == LinkState::kOpen) {
    this->actions.emplace_back(DropEndpoint{endpoint});
    this->OnClosed(endpoint, now);
  }
}

void Fleet::OnTimer(Instant now) {
  while (const auto endpoint = this->timers.PopDue(now)) {
    Member* const member = this->Find(*endpoint);
    if (member == nullptr) {
      continue;
    }
    if (member->link.OnTimer(this->Offset(), now)) {
      ++this->sessions_lost;
      this->LoseSession(*member);
    }
    this->Rearm(*member);
    this->DropUnneeded(*member);
  }
  if (now >= this->sweep_at) {
    this->Sweep(now);
  }
}

void Fleet::Sweep(Instant now) {
  this->sweep_at = now + kSweepInterval;
  for (auto& [key, pool] : this->pools) {
    if (pool.ejection.Sweep(now)) {
      this->Rebuild(pool);
    }
  }
}

void Fleet::DeferTimeouts(Instant no_timeout_before) {
  for (const auto& [id, member] : this->members) {
    member->link.DeferTimeouts(no_timeout_before);
    this->Rearm(*member);
  }
}

Instant Fleet::NextTimer() const {
  return std::min(this->timers.Next(), this->sweep_at);
}

std::vector<LostWork> Fleet::TakeLost() {
  return std::exchange(this->lost, {});
}

placement::Candidates Fleet::Usable(const ServiceName& service,
                                    protocol::EndpointRole role) const {
  const auto found = this->pools.find({service, role});
  return found == this->pools.end()
             ? placement::Candidates()
             : placement::Candidates(found->second.usable);
}

std::size_t Fleet::Members(const ServiceName& service,
                           protocol::EndpointRole role) const {
  const auto found = this->pools.find({service, role});
  return found == this->pools.end() ? 0 : found->second.listed;
}

bool Fleet::Open(const EndpointId& endpoint, Instant now) const {
  const Member* const member = this->Find(endpoint);
  return member != nullptr && member->link.Usable(now);
}

Incarnation Fleet::AgentOf(const EndpointId& endpoint) const {
  const Member* const member = this->Find(endpoint);
  return member == nullptr ? Incarnation() : member->link.Agent();
}

const ServiceName* Fleet::ServiceOf(const EndpointId& endpoint) const {
  const Member* const member = this->Find(endpoint);
  if (member != nullptr) {
    return &member->record.service;
  }
  const manifest::Endpoint* const record =
      this->manifest ? this->manifest->FindEndpoint(endpoint) : nullptr;
  return record == nullptr ? nullptr : &record->service;
}

placement::EndpointView* Fleet::View(const EndpointId& endpoint) {
  Member* const member = this->Find(endpoint);
  return member == nullptr ? nullptr : &member->view;
}

bool Fleet::Send(const EndpointId& endpoint,
                 protocol::EntryToAgent message,
                 Instant now) {
  if (!this->Open(endpoint, now)) {
    return false;
  }
  this->actions.emplace_back(
      SendToAgent{.endpoint = endpoint, .message = std::move(message)});
  return true;
}

void Fleet::Attach(const EndpointId& endpoint,
                   const RequestId& request,
                   Instant now) {
  Member* member = this->Find(endpoint);
  const manifest::Endpoint* const record =
      member == nullptr && this->manifest
          ? this->manifest->FindEndpoint(endpoint)
          : nullptr;
  if (record != nullptr) {
    member = &this->FindOrAdd(*record);
  }
  if (member != nullptr) {
    member->attached.insert(request);
    member->link.Connect(now);
    this->Rearm(*member);
  }
}

void Fleet::Detach(const EndpointId& endpoint, const RequestId& request) {
  Member* const member = this->Find(endpoint);
  if (member != nullptr && member->attached.erase(request) > 0) {
    this->DropUnneeded(*member);
  }
}

void Fleet::DropUnneeded(Member& member) {
  if (!member.wanted && member.attached.empty()) {
    member.link.Release(this->Offset());
    this->Rearm(member);
  }
}

void Fleet::NoteSuccess(const EndpointId& endpoint, double latency) {
  Member* const member = this->Find(endpoint);
  if (member == nullptr) {
    return;
  }
  member->view.NoteLatency(latency);
  retry::OutlierEjection& ejection = this->PoolOf(*member).ejection;
  ejection.NoteLatency(endpoint, latency);
  ejection.NoteSuccess(endpoint);
}

void Fleet::NoteFailure(const EndpointId& endpoint, Instant now) {
  Member* const member = this->Find(endpoint);
  if (member == nullptr) {
    return;
  }
  Pool& pool = this->PoolOf(*member);
  const std::size_t before = pool.ejection.EjectedCount();
  pool.ejection.NoteFailure(endpoint, now);
  if (pool.ejection.EjectedCount() != before) {
    this->Rebuild(pool);
  }
}

}  // namespace acacialug::entry
