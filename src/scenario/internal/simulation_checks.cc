// The checks of Simulation.
#include <algorithm>

#include "scenario/simulation.h"

namespace acacialug::scenario {
namespace {

constexpr Duration kLookInterval = 100ms;

}  // namespace

void Simulation::SchedulePeriodicChecks() {
  this->queue.After(kLookInterval, [this] {
    this->RunPeriodicChecks();
    this->SchedulePeriodicChecks();
  });
}

void Simulation::RunPeriodicChecks() {
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
    // A call that has started cannot be aborted; only model engines free work
    // at
    // once.
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
  this->rules.CheckHeld(held);
  this->CheckConfiguration();
  this->rules.CheckCalls(
      this->all_callers.requests(),
      [this](const std::string& marker) { return this->Executions(marker); });
}

// Entries receive a manifest from the log, and agents from entries, so that an
// entry must have run for some time.
void Simulation::CheckConfiguration() {
  Instant told_since = kNever;
  for (const auto& [name, entry] : this->entries) {
    const Instant since = this->started.at("entry " + name);
    told_since = std::min(told_since, since);
    this->rules.CheckConfiguration("entry " + name,
                                   entry->feed().follower().offset(), since);
  }
  if (told_since == kNever) {
    return;
  }
  for (const auto& [name, agent] : this->agents) {
    this->rules.CheckConfiguration(
        "agent " + name, agent->feed().follower().offset(),
        std::max(told_since, this->started.at("agent " + name)));
  }
}

// An endpoint whose agent died during maintenance stays out of service until
// the agent's successor has ended the maintenance.
bool Simulation::OutByOrder(const std::string& endpoint) const {
  const auto agent = this->FindAgent(endpoint);
  if (agent == nullptr) {
    return this->out.contains(endpoint);
  }
  const agent::OrderStatus status = agent->core().order_status();
  return status.out || this->engines.at(endpoint)->loading() ||
         (this->out.contains(endpoint) && !status.confirmed &&
          status.intent != maintenance::MaintenanceIntent::kEnter);
}

void Simulation::CheckPools() {
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

bool Simulation::Wanted(const AttemptId& attempt) const {
  const std::uint64_t number = attempt.request.low;
  return number >= 1 && number <= this->all_callers.requests().size() &&
         this->all_callers.Get(number).state == RequestState::kOpen &&
         std::any_of(this->entries.begin(), this->entries.end(),
                     [&attempt](const auto& item) {
                       return item.second->incarnation() == attempt.entry;
                     });
}

void Simulation::Settle() {
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

void Simulation::Quiet() {
  this->Settle();
  const Instant end = this->queue.now() + kQuietLimit;
  while (!this->Idle() && this->queue.now() < end) {
    this->Run(1s);
  }
  this->RunPeriodicChecks();
  this->CheckLeftOvers();
}

bool Simulation::Idle() const {
  const auto& requests = this->all_callers.requests();
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

void Simulation::CheckLeftOvers() {
  for (const Request& request : this->all_callers.requests()) {
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
