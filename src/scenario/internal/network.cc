#include "scenario/internal/network.h"

#include <algorithm>

#include "scenario/internal/agent_host.h"
#include "scenario/internal/entry_host.h"

namespace acacialug::scenario {
namespace {

// In the order of the variant's types.
constexpr std::array<const char*, std::variant_size_v<protocol::EntryToAgent>>
    kToAgentKinds = {"Hello",        "Renew",       "Reserve",
                     "StartPrefill", "StartDecode", "Acknowledge",
                     "StartCall",    "LookUp",      "Cancel"};
constexpr std::array<const char*, std::variant_size_v<protocol::AgentToEntry>>
    kToEntryKinds = {"Welcome",      "Renewed", "Reserved", "Refused",
                     "Prefilled",    "Chunk",   "Ended",    "Failed",
                     "CallAnswered", "Leaving"};

}  // namespace

// ---- connections ----

void Network::Connect(const std::shared_ptr<EntryHost>& entry,
                      const EndpointId& endpoint) {
  const auto link = std::make_shared<Link>();
  link->session = agent::SessionId(++this->last_session);
  link->ends = {entry->Name(), endpoint.text};
  link->entry_start = entry->incarnation();
  link->entry = entry;
  this->current[{entry->incarnation(), endpoint}] = link;
  this->links[link->session] = link;
  this->Arrive(link, kToAgent, [this, link, endpoint] {
    const std::shared_ptr<AgentHost> agent = this->agents(endpoint.text);
    if (agent == nullptr || !agent->alive()) {
      this->Arrive(link, kToEntry, [this, link] { this->CloseAtEntry(link); });
      return;
    }
    link->agent = agent;
    link->agent_open = true;
    agent->OnOpened(link->session);
    this->Arrive(link, kToEntry, [this, link, endpoint] {
      if (this->Current(link->entry_start, endpoint) != link) {
        return;  // the entry has closed it since
      }
      link->entry_open = true;
      if (const auto entry_host = link->entry.lock()) {
        entry_host->OnConnected(endpoint);
      }
    });
  });
}

void Network::Drop(const EntryHost& entry, const EndpointId& endpoint) {
  const LinkPointer link = this->Current(entry.incarnation(), endpoint);
  if (link == nullptr) {
    return;
  }
  link->entry_open = false;
  this->current.erase({entry.incarnation(), endpoint});
  this->Arrive(link, kToAgent, [this, link] { this->CloseAtAgent(link); });
}

void Network::Close(agent::SessionId session) {
  const auto found = this->links.find(session);
  if (found == this->links.end()) {
    return;
  }
  const LinkPointer link = found->second;
  link->agent_open = false;
  this->Arrive(link, kToEntry, [this, link] { this->CloseAtEntry(link); });
}

void Network::CloseAtEntry(const LinkPointer& link) {
  const EndpointId endpoint(link->ends.second);
  if (this->Current(link->entry_start, endpoint) != link) {
    return;
  }
  link->entry_open = false;
  this->current.erase({link->entry_start, endpoint});
  if (const auto entry = link->entry.lock()) {
    entry->OnClosed(endpoint);
  }
}

void Network::CloseAtAgent(const LinkPointer& link) {
  const auto agent = link->agent.lock();
  if (agent != nullptr && link->agent_open) {
    link->agent_open = false;
    agent->OnClosed(link->session);
  }
  this->links.erase(link->session);
}

Network::LinkPointer Network::Current(Incarnation entry,
                                      const EndpointId& endpoint) const {
  const auto found = this->current.find({entry, endpoint});
  return found == this->current.end() ? nullptr : found->second;
}

// ---- messages ----

void Network::ToAgent(const EntryHost& entry,
                      const EndpointId& endpoint,
                      const protocol::EntryToAgent& message) {
  const LinkPointer link = this->Current(entry.incarnation(), endpoint);
  if (link == nullptr || !link->entry_open) {
    return;
  }
  this->Send(link, kToAgent, kToAgentKinds.at(message.index()),
             [link, message] {
               const auto agent = link->agent.lock();
               if (agent != nullptr && link->agent_open) {
                 agent->OnMessage(link->session, message);
               }
             });
}

void Network::ToEntry(agent::SessionId session,
                      const protocol::AgentToEntry& message) {
  const auto found = this->links.find(session);
  if (found == this->links.end()) {
    return;
  }
  const LinkPointer link = found->second;
  this->Send(
      link, kToEntry, kToEntryKinds.at(message.index()), [this, link, message] {
        // A late message may arrive by the successor of its connection.
        const EndpointId endpoint(link->ends.second);
        const LinkPointer now_open = this->Current(link->entry_start, endpoint);
        const auto entry = link->entry.lock();
        if (entry != nullptr && now_open != nullptr && now_open->entry_open) {
          entry->OnMessage(endpoint, message);
        }
      });
}

void Network::Send(const LinkPointer& link,
                   Direction direction,
                   const std::string& kind,
                   const Task& task) {
  if (!this->Lost() && this->ApplyRules(link->ends, kind, task)) {
    this->Arrive(link, direction, task);
  }
}

bool Network::Lost() {
  return this->lost_share > 0 && this->random.Unit() < this->lost_share;
}

bool Network::ApplyRules(const Pair& ends,
                         const std::string& kind,
                         const Task& task) {
  for (MessageRule& rule : this->rules) {
    const bool meant = rule.kind == kind && rule.count > 0 &&
                       (rule.entry.empty() || rule.entry == ends.first) &&
                       (rule.endpoint.empty() || rule.endpoint == ends.second);
    if (!meant) {
      continue;
    }
    if (rule.first > 1) {
      --rule.first;
      continue;
    }
    --rule.count;
    if (rule.fault != MessageFault::kLost) {
      this->queue.After(this->delay + rule.by, task);
    }
    if (rule.fault != MessageFault::kDoubled) {
      return false;
    }
  }
  return true;
}

// ---- datagrams ----

void Network::SendDatagram(const Pair& ends,
                           const std::string& kind,
                           Task task) {
  const Task delivered = [this, ends, task = std::move(task)] {
    if (!this->partitions.contains(ends)) {
      task();
    }
  };
  if (!this->Lost() && this->ApplyRules(ends, kind, delivered)) {
    this->queue.After(this->delay, delivered);
  }
}

void Network::Heartbeat(const std::shared_ptr<EntryHost>& entry,
                        const EndpointId& endpoint,
                        const protocol::Heartbeat& heartbeat) {
  this->SendDatagram({entry->Name(), endpoint.text}, "Heartbeat",
                     [this, from = std::weak_ptr(entry), endpoint, heartbeat] {
                       const std::shared_ptr<AgentHost> agent =
                           this->agents(endpoint.text);
                       if (agent != nullptr && agent->alive()) {
                         agent->OnHeartbeat(from, heartbeat);
                       }
                     });
}

void Network::AnswerHeartbeat(const std::shared_ptr<EntryHost>& entry,
                              const EndpointId& endpoint,
                              const protocol::HeartbeatAnswer& answer) {
  this->SendDatagram({entry->Name(), endpoint.text}, "HeartbeatAnswer",
                     [to = std::weak_ptr(entry), answer] {
                       if (const auto host = to.lock()) {
                         host->OnHeartbeatAnswer(answer);
                       }
                     });
}

void Network::Arrive(const LinkPointer& link, Direction direction, Task task) {
  Instant& last = link->last.at(direction);
  last = std::max(last, this->queue.now() + this->delay);
  this->queue.At(last, [this, link, task = std::move(task)] {
    this->Deliver(link, task);
  });
}

void Network::Deliver(const LinkPointer& link, const Task& task) {
  if (this->partitions.contains(link->ends)) {
    link->held.push_back(task);
  } else {
    task();
  }
}

// ---- faults ----

void Network::OnEntryEnded(const EntryHost& entry, bool silently) {
  for (auto link = this->current.begin(); link != this->current.end();) {
    if (link->first.first != entry.incarnation()) {
      ++link;
      continue;
    }
    const LinkPointer ended = link->second;
    ended->entry_open = false;
    link = this->current.erase(link);
    if (!silently) {
      this->Arrive(ended, kToAgent,
                   [this, ended] { this->CloseAtAgent(ended); });
    }
  }
}

void Network::OnAgentEnded(const AgentHost& agent, bool silently) {
  for (const auto& [session, link] : this->links) {
    if (link->agent.lock().get() != &agent) {
      continue;
    }
    link->agent_open = false;
    if (!silently) {
      this->Arrive(link, kToEntry, [this, link = link] {
        this->CloseAtEntry(link);
        this->links.erase(link->session);
      });
    }
  }
}

void Network::Cut(const std::string& entry, const std::string& endpoint) {
  for (const auto& [session, link] : this->links) {
    if (link->ends == Pair{entry, endpoint}) {
      this->Arrive(link, kToEntry,
                   [this, link = link] { this->CloseAtEntry(link); });
      this->Arrive(link, kToAgent,
                   [this, link = link] { this->CloseAtAgent(link); });
    }
  }
}

void Network::Partition(const std::string& entry, const std::string& endpoint) {
  this->partitions.insert({entry, endpoint});
}

void Network::Heal(const std::string& entry, const std::string& endpoint) {
  const Pair ends{entry, endpoint};
  this->partitions.erase(ends);
  std::vector<LinkPointer> healed;
  for (const auto& [session, link] : this->links) {
    if (link->ends == ends) {
      healed.push_back(link);
    }
  }
  for (const LinkPointer& link : healed) {
    for (const Task& task : std::exchange(link->held, {})) {
      task();
    }
  }
}

void Network::HealAll() {
  for (const Pair& ends : std::set<Pair>(this->partitions)) {
    this->Heal(ends.first, ends.second);
  }
}

}  // namespace acacialug::scenario
