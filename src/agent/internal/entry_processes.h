#ifndef AGENT_INTERNAL_ENTRY_PROCESSES_H_
#define AGENT_INTERNAL_ENTRY_PROCESSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "protocol/types/heartbeat.h"

namespace acacialug::agent {

// The processes whose shards have sessions here, with the reports in their
// heartbeats and the reports sent to them. Not thread safe.
class EntryProcesses {
 public:
  // One start of a process.
  using Key = std::pair<EntryId, Incarnation>;

  // Called once for each session that begins or ends.
  void Join(const Key& process);
  void Leave(const Key& process);

  // Accepts the heartbeat as the newest of its process. False: the process has
  // no session here, or this heartbeat or a later one was accepted before.
  bool Take(const protocol::Heartbeat& heartbeat);

  // Adds the load to the answer, unless the process is known to have received a
  // similar report. Precondition: Take accepted the heartbeat.
  void ReportLoad(const protocol::Heartbeat& heartbeat,
                  const protocol::EndpointLoad& load,
                  protocol::HeartbeatAnswer& answer);

  std::size_t count() const { return this->processes.size(); }

 private:
  struct Process {
    std::size_t sessions = 0;
    std::uint32_t newest = 0;       // sequence of the newest heartbeat
    std::uint32_t reported_at = 0;  // of the answer with `reported`; 0: none
    protocol::EndpointLoad reported;
  };

  std::map<Key, Process> processes;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ENTRY_PROCESSES_H_
