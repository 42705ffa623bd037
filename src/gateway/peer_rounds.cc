#include "gateway/peer_rounds.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// Time between two heartbeats to a peer, for up to kFewPeers peers.
constexpr Duration kMinInterval = 20ms;
constexpr std::size_t kFewPeers = 5;
constexpr Duration kMinHeartbeatTimeout = 800ms;  // two keep-alives
// Up to this number, all peers get heartbeats at the same interval.
constexpr std::size_t kManyPeers = 25;

}  // namespace

bool AreManyPeers(std::size_t peers) {
  return peers > kManyPeers;
}

Duration RoundInterval(std::size_t peers, std::size_t group) {
  const std::size_t receivers = AreManyPeers(peers) ? 2 * group : peers;
  return kMinInterval *
         static_cast<std::int64_t>(std::max(receivers, kFewPeers)) /
         static_cast<std::int64_t>(kFewPeers);
}

Duration HeartbeatTimeout(std::size_t peers) {
  return std::max(kMinHeartbeatTimeout, 2 * RoundInterval(peers, peers));
}

}  // namespace acacialug::gateway
