// The part of World that looks for what is wrong.
#include <algorithm>

#include "scenario/world.h"

namespace acacialug::scenario {
namespace {

constexpr Duration kLookInterval = 100ms;

}  // namespace

void World::LookEvery() {
  this->queue.After(kLookInterval, [this] {
    this->Look();
    this->LookEvery();
  });
}

void World::Look() {
  std::vector<Checker::HeldAttempt> held;
  for (const auto& [id, engine] : this->engines) {
    const auto agent = this->FindAgent(id);
    const bool absent = agent == nullptr || agent->paused();
    for (const standin::HeldRequest& item : engine->held()) {
      const AttemptId attempt =
          ParseAttemptId(item.request_id).value_or(AttemptId{});
      held.push_back({.endpoint = EndpointId(id),
                      .attempt = attempt,
                      .wanted = this->Wanted(attempt),
                      .excused = absent || engine->stalled()});
    }
    // A call that began cannot be taken back: only models free at once.
    if (agent == nullptr || engine->role() == protocol::EndpointRole::kPlain) {
      continue;
    }
    for (const AttemptId& attempt : agent->core().held_attempts()) {
      held.push_back({.endpoint = EndpointId(id),
                      .attempt = attempt,
                      .by_agent = true,
                      .wanted = this->Wanted(attempt),
                      .excused = absent});
    }
  }
  this->rules.LookAtHeld(held);
  this->LookAtConfiguration();
  this->rules.LookAtCalls(
      this->asking.requests(),
      [this](const std::string& marker) { return this->Executions(marker); });
}

// Entries hear of a manifest from the log, agents from entries: one must have
// run for a while.
void World::LookAtConfiguration() {
  Instant told_since = kNever;
  for (const auto& [name, entry] : this->entries) {
    const Instant since = this->started.at("entry " + name);
    told_since = std::min(told_since, since);
    this->rules.LookAtConfiguration("entry " + name,
                                    entry->feed().follower().offset(), since);
  }
  if (told_since == kNever) {
    return;
  }
  for (const auto& [name, agent] : this->agents) {
    this->rules.LookAtConfiguration(
        "agent " + name, agent->feed().follower().offset(),
        std::max(told_since, this->started.at("agent " + name)));
  }
}

// One whose agent died in its turn stays out until its successor has brought
// it back.
bool World::OutByOrder(const std::string& endpoint) const {
  const auto agent = this->FindAgent(endpoint);
  if (agent == nullptr) {
    return this->out.contains(endpoint);
  }
  const agent::OrderStatus status = agent->core().order_status();
  return status.out || this->engines.at(endpoint)->loading() ||
         (this->out.contains(endpoint) && !status.confirmed &&
          status.intent != maintenance::MaintenanceIntent::kEnter);
}

void World::LookAtPools() {
  for (const auto& [id, agent] : this->agents) {
    if (agent->role() == protocol::EndpointRole::kPlain) {
      continue;
    }
    if (!this->OutByOrder(id)) {
      this->out.erase(id);
    } else if (this->out.insert(id).second) {
      const auto* held = agent->feed().follower().active();
      this->rules.OnTakenOut(EndpointId(id),
                             held == nullptr ? nullptr : held->manifest.get(),
                             this->out);
    }
  }
}

bool World::Wanted(const AttemptId& attempt) const {
  const std::uint64_t number = attempt.request.low;
  return number >= 1 && number <= this->asking.requests().size() &&
         this->asking.Get(number).state == RequestState::kOpen &&
         std::any_of(this->entries.begin(), this->entries.end(),
                     [&attempt](const auto& item) {
                       return item.second->incarnation() == attempt.entry;
                     });
}

void World::Settle() {
  this->wires.HealAll();
  this->wires.Lose(0);
  this->platform_log.Set({});
  for (const auto& [id, engine] : this->engines) {
    engine->StallTransfers(false);
    if (!this->agents.contains(id)) {
      this->StartAgent(id);
    }
  }
  for (std::uint32_t number = 1; number <= this->settings.entries; ++number) {
    const std::string name = "e" + std::to_string(number);
    if (!this->entries.contains(name) && !this->stopped.contains(name)) {
      this->StartEntry(name);
    }
  }
  for (const auto& [name, agent] : this->agents) {
    agent->Resume();
  }
  for (const auto& [name, entry] : this->entries) {
    entry->Resume();
  }
  this->rules.SetDisturbed(false);
}

void World::Quiet() {
  this->Settle();
  const Instant end = this->queue.now() + kQuietLimit;
  while (!this->Idle() && this->queue.now() < end) {
    this->Run(1s);
  }
  this->Look();
  this->CheckLeftOvers();
}

bool World::Idle() const {
  const auto& requests = this->asking.requests();
  return std::all_of(requests.begin(), requests.end(),
                     [](const Request& request) {
                       return request.state != RequestState::kOpen;
                     }) &&
         std::all_of(
             this->engines.begin(), this->engines.end(),
             [](const auto& item) { return item.second->held().empty(); }) &&
         std::all_of(this->agents.begin(), this->agents.end(),
                     [](const auto& item) {
                       return item.second->core().held_attempts().empty();
                     }) &&
         std::all_of(this->entries.begin(), this->entries.end(),
                     [](const auto& item) {
                       return item.second->core().alive_requests() == 0;
                     }) &&
         std::all_of(
             this->agents.begin(), this->agents.end(), [](const auto& item) {
               return item.second->role() == protocol::EndpointRole::kPlain ||
                      item.second->core().order_status().confirmed;
             });
}

void World::CheckLeftOvers() {
  for (const Request& request : this->asking.requests()) {
    if (request.state == RequestState::kOpen) {
      this->rules.Report("request " + std::to_string(request.number) +
                         ": no final answer");
    }
  }
  for (const auto& [id, engine] : this->engines) {
    if (!engine->held().empty()) {
      this->rules.Report(id + ": engine memory left behind");
    }
  }
  for (const auto& [id, agent] : this->agents) {
    if (agent->role() != protocol::EndpointRole::kPlain &&
        !agent->core().order_status().confirmed) {
      this->rules.Report(id + ": its engine is not as the manifest says");
    }
    if (!agent->core().held_attempts().empty()) {
      this->rules.Report(id + ": a reservation left behind");
    }
  }
  for (const auto& [name, entry] : this->entries) {
    if (entry->core().alive_requests() != 0) {
      this->rules.Report(name + ": a request left behind");
    }
  }
}

}  // namespace acacialug::scenario
