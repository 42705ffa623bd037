#ifndef GATEWAY_PEER_ROUNDS_H_
#define GATEWAY_PEER_ROUNDS_H_

#include <cstddef>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// The time between two heartbeats to the same peer, in a group of `group` peers
// that are sent to in one round; `peers` is the number of all peers, the group
// included.
//
// The number of heartbeats that a process sends each second is bounded,
// whatever the number of peers. As long as all peers can receive a placement
// soon within that bound, they get heartbeats at the same interval. With more
// peers, half of the heartbeats goes to those in the process's own failure
// domain: they choose the same endpoints first, and in a round of all peers
// each would decide by reports that are older than most of the work. Thread
// safe. Precondition: group <= peers.
Duration RoundInterval(std::size_t peers, std::size_t group);

// Whether there are so many peers that those in the process's own failure
// domain get heartbeats more often than the others. Thread safe.
bool AreManyPeers(std::size_t peers);

// The time without heartbeats after which a peer is treated as unresponsive,
// with `peers` peers in total. It allows for some lost heartbeats. Thread safe.
Duration HeartbeatTimeout(std::size_t peers);

}  // namespace acacialug::gateway

#endif  // GATEWAY_PEER_ROUNDS_H_
