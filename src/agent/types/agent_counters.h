#ifndef AGENT_TYPES_AGENT_COUNTERS_H_
#define AGENT_TYPES_AGENT_COUNTERS_H_

#include <cstdint>

namespace acacialug::agent {

// The counts of an agent since its start, for metrics and tests.
struct AgentCounters {
  std::uint64_t refused = 0;              // answered as not run
  std::uint64_t dropped_messages = 0;     // superseded, repeated or unknown
  std::uint64_t dropped_events = 0;       // engine events of unknown attempts
  std::uint64_t sessions_lapsed = 0;      // not renewed within the lease
  std::uint64_t heartbeats = 0;           // datagrams that renewed a session
  std::uint64_t heartbeats_dropped = 0;   // late, duplicated, or of no session
  std::uint64_t reservations_lapsed = 0;  // never used within their limit
  std::uint64_t exports_lapsed = 0;       // neither fetched nor cancelled
  std::uint64_t streams_stalled = 0;      // engine without progress
  std::uint64_t refused_while_stalled = 0;  // as the engine was stalled
  std::uint64_t orphans_aborted = 0;        // found in the engine, not owned
};

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_AGENT_COUNTERS_H_
