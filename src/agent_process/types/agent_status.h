#ifndef AGENT_PROCESS_TYPES_AGENT_STATUS_H_
#define AGENT_PROCESS_TYPES_AGENT_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agent/types/agent_counters.h"
#include "agent/types/agent_messages.h"
#include "agent/types/order_status.h"
#include "protocol/types/messages.h"

namespace acacialug::agent_process {

// Counters of the process around the core since its start.
struct ProcessCounters {
  std::uint64_t sessions_opened = 0;
  std::uint64_t sessions_closed = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t bad_frames = 0;
  std::uint64_t bad_datagrams = 0;
  std::uint64_t heartbeat_bytes_received = 0;  // including headers
  std::uint64_t heartbeat_bytes_sent = 0;
  // How often the traffic changed from within the budget to above it.
  std::uint64_t heartbeat_over_budget = 0;
  std::uint64_t frames_not_sent = 0;  // the session was unknown or closing
  std::uint64_t frames_too_large = 0;
  std::uint64_t engine_events = 0;
  std::uint64_t engine_failures = 0;
  std::uint64_t prefills_done = 0;
  std::uint64_t streams_done = 0;
  std::uint64_t calls_done = 0;
  std::uint64_t output_tokens = 0;
};

struct SessionStatus {
  agent::SessionId session;
  EntryId entry;  // empty until its Hello is received
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t unsent_bytes = 0;
};

// The data that /status and /metrics show.
struct AgentStatus {
  EndpointId endpoint;
  Incarnation incarnation;
  protocol::EndpointRole role = protocol::EndpointRole::kPlain;
  LogOffset manifest_offset;
  std::string manifest_version;
  bool configuration_known = false;  // manifest active and the newest
  bool engine_known = false;         // the engine has listed what it holds
  bool draining = false;
  protocol::EndpointLoad load;
  agent::OrderStatus orders;
  std::vector<SessionStatus> sessions;
  std::vector<AttemptId> held_attempts;
  ProcessCounters counters;
  agent::AgentCounters core_counters;

  bool ready() const {
    return this->configuration_known && this->engine_known && !this->draining;
  }
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_TYPES_AGENT_STATUS_H_
