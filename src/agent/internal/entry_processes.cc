#include "agent/internal/entry_processes.h"

#include "heartbeat/load_digest.h"

namespace acacialug::agent {

void EntryProcesses::Join(const Key& process) {
  ++this->processes[process].sessions;
}

void EntryProcesses::Leave(const Key& process) {
  const auto found = this->processes.find(process);
  if (found != this->processes.end() && --found->second.sessions == 0) {
    this->processes.erase(found);
  }
}

bool EntryProcesses::Take(const protocol::Heartbeat& heartbeat) {
  const auto found =
      this->processes.find({heartbeat.entry, heartbeat.incarnation});
  // Without the check of the order, a copy of an old datagram that arrived by a
  // slow route would renew the sessions of an entry that has stopped.
  if (found == this->processes.end() ||
      heartbeat.sequence <= found->second.newest) {
    return false;
  }
  found->second.newest = heartbeat.sequence;
  return true;
}

void EntryProcesses::ReportLoad(const protocol::Heartbeat& heartbeat,
                                const protocol::EndpointLoad& load,
                                protocol::HeartbeatAnswer& answer) {
  Process& process =
      this->processes.at({heartbeat.entry, heartbeat.incarnation});
  const bool known =
      process.reported_at != 0 && process.reported_at == heartbeat.load_seen;
  if (known && !heartbeat::ChangedMaterially(process.reported, load)) {
    return;
  }
  process.reported_at = heartbeat.sequence;
  process.reported = load;
  answer.has_load = true;
  answer.load = load;
}

}  // namespace acacialug::agent
