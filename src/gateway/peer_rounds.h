#ifndef GATEWAY_PEER_ROUNDS_H_
#define GATEWAY_PEER_ROUNDS_H_

#include <cstddef>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// The time between two heartbeats to the same peer, one of `group` that are
// told together; `peers` are all of them, the group's included.
//
// What a process sends a second is bounded, whatever their number. As long as
// that lets all hear of a placement soon, all are told alike. With more of them
// half of it goes to those of the process's own failure domain: these place at
// the same endpoints first, and in a round of all of them each would decide by
// news that are older than most of the work. Thread safe. Precondition:
// group <= peers.
Duration RoundInterval(std::size_t peers, std::size_t group);

// After which one of so many peers that tells nothing is taken for silent: some
// of its heartbeats may be lost. Thread safe.
Duration HeartbeatTimeout(std::size_t peers);

}  // namespace acacialug::gateway

#endif  // GATEWAY_PEER_ROUNDS_H_
