#include "gateway/peer_rounds.h"

#include <algorithm>

namespace acacialug::gateway {
namespace {

// Between two heartbeats to a peer, for up to kFewPeers of them.
constexpr Duration kLeastInterval = 20ms;
constexpr std::size_t kFewPeers = 5;
// Up to so many all are told alike.
constexpr std::size_t kManyPeers = 25;

}  // namespace

Duration RoundInterval(std::size_t peers, std::size_t group) {
  const bool split = peers > kManyPeers;
  const std::size_t told = split ? 2 * group : peers;
  return kLeastInterval * static_cast<std::int64_t>(std::max(told, kFewPeers)) /
         static_cast<std::int64_t>(kFewPeers);
}

}  // namespace acacialug::gateway
