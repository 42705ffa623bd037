// The faults of Simulation.
#include <algorithm>

#include "scenario/internal/process_name.h"
#include "scenario/simulation.h"

namespace acacialug::scenario {

bool Simulation::Kill(const std::string& process, bool silently) {
  const auto [kind, name] = SplitName(process);
  if (const auto entry = kind == "entry" ? this->FindEntry(name) : nullptr) {
    this->entries.erase(name);
    this->draining.erase(name);
    entry->End();
    this->wires.OnEntryEnded(*entry, silently);
    this->all_callers.OnEntryEnded(*entry);
    return true;
  }
  if (const auto agent = kind == "agent" ? this->FindAgent(name) : nullptr) {
    this->agents.erase(name);
    agent->End();
    this->wires.OnAgentEnded(*agent, silently);
    return true;
  }
  return false;
}

bool Simulation::Restart(const std::string& process) {
  const auto [kind, name] = SplitName(process);
  this->Kill(process);
  if (kind == "entry") {
    this->StartEntry(name);
    return true;
  }
  if (kind == "agent" && this->engines.contains(name)) {
    this->rules.OnAgentStarted(EndpointId(name));
    this->StartAgent(name);
    return true;
  }
  return false;
}

bool Simulation::Pause(const std::string& process) {
  const auto found = this->Find(process);
  if (found != nullptr) {
    found->Pause();
    this->rules.SetDisturbed(true);
  }
  return found != nullptr;
}

bool Simulation::Resume(const std::string& process) {
  const auto found = this->Find(process);
  if (found != nullptr && found->paused()) {
    found->Resume();
    this->rules.SetDisturbed(this->Disturbed());
  }
  return found != nullptr;
}

bool Simulation::Drain(const std::string& process) {
  const auto [kind, name] = SplitName(process);
  if (const auto entry = kind == "entry" ? this->FindEntry(name) : nullptr) {
    this->draining.insert(name);
    entry->Feed([this, host = entry.get()] {
      host->core().BeginDrain(this->queue.now());
    });
    return true;
  }
  if (const auto agent = kind == "agent" ? this->FindAgent(name) : nullptr) {
    agent->Drain();
    return true;
  }
  return false;
}

bool Simulation::Stall(const std::string& endpoint, Duration length) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->Stall(length);
  }
  return found != this->engines.end();
}

bool Simulation::RestartEngine(const std::string& endpoint) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->Restart();
  }
  return found != this->engines.end();
}

bool Simulation::StallTransfers(const std::string& endpoint, bool is_out) {
  const auto found = this->engines.find(endpoint);
  if (found != this->engines.end()) {
    found->second->StallTransfers(is_out);
  }
  return found != this->engines.end();
}

void Simulation::SetLog(const PlatformLog::Faults& faults) {
  this->platform_log.Set(faults);
  this->rules.SetDisturbed(this->Disturbed());
}

void Simulation::Lose(double share) {
  this->wires.Lose(share);
  PlatformLog::Faults faults = this->platform_log.faults();
  faults.lost_share = share;
  this->SetLog(faults);
}

void Simulation::Partition(const std::string& entry,
                           const std::string& endpoint) {
  this->wires.Partition(entry, endpoint);
  this->rules.SetDisturbed(true);
}

void Simulation::Heal(const std::string& entry, const std::string& endpoint) {
  this->wires.Heal(entry, endpoint);
  this->rules.SetDisturbed(this->Disturbed());
}

bool Simulation::Disturbed() const {
  const PlatformLog::Faults& log_faults = this->platform_log.faults();
  const auto is_paused = [](const auto& item) { return item.second->paused(); };
  return this->wires.partitioned() || this->wires.losing() > 0 ||
         log_faults.outage || log_faults.lose_answers ||
         log_faults.delay > Duration::zero() ||
         std::any_of(this->entries.begin(), this->entries.end(), is_paused) ||
         std::any_of(this->agents.begin(), this->agents.end(), is_paused);
}

}  // namespace acacialug::scenario
