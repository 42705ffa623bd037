#ifndef GATEWAY_TESTS_HEARTBEAT_INTERVAL_H_
#define GATEWAY_TESTS_HEARTBEAT_INTERVAL_H_

#include <cstddef>

#include "gateway/peer_rounds.h"

namespace acacialug::gateway::testing {

// Returns the time between two heartbeats that a process sends to the peers of
// its own failure domain (`near`), or to all other peers, when `processes` are
// spread evenly over the domains.
inline Duration HeartbeatInterval(std::size_t processes,
                                  std::size_t domains,
                                  bool near) {
  const std::size_t peers = processes - 1;
  const std::size_t neighbours = peers / domains;
  return RoundInterval(peers, near ? neighbours : peers - neighbours);
}

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_HEARTBEAT_INTERVAL_H_
