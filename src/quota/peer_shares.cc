#include "quota/peer_shares.h"

#include <utility>

namespace acacialug::quota {
namespace {

// Interval after which AdvanceTo recounts the peers; reports and listings take
// effect at once.
constexpr Duration kUpdateInterval = 20ms;

Duration ScaledDuration(Duration whole, double share) {
  return FromSeconds(Seconds(whole) * share);
}

}  // namespace

bool PeerShares::IsRetained(const Peer& peer, Instant now) const {
  return peer.received ? now - peer.last_received_at < this->options.retention
                       : now - peer.listed_at < this->options.listed_retention;
}

void PeerShares::UpdatePeers(Instant now) {
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return !this->IsRetained(entry.second, now);
  });
  const Duration heartbeat_timeout =
      this->options.heartbeat_timeout(this->peers.size());
  std::size_t unresponsive = 0;
  for (auto& [id, peer] : this->peers) {
    peer.unresponsive =
        !peer.received || now - peer.last_received_at >= heartbeat_timeout;
    unresponsive += peer.unresponsive ? 1 : 0;
  }
  this->live_count = this->peers.size() - unresponsive;
  this->UpdateShare();
}

void PeerShares::UpdateShare() {
  this->live_share = static_cast<double>(this->live_count + 1) /
                     static_cast<double>(this->peers.size() + 1);
}

void PeerShares::AdvanceTo(Instant now) {
  if (this->advanced_at == Instant{}) {
    this->advanced_at = now;
    return;
  }
  const Duration elapsed = now - this->advanced_at;
  if (elapsed < kUpdateInterval) {
    return;
  }
  this->advanced_at = now;
  // A peer that became unresponsive during the interval counts as unresponsive
  // for all of the interval.
  this->UpdatePeers(now);
  this->accrued_time += ScaledDuration(elapsed, this->live_share);
  const double share_of_each =
      1.0 / static_cast<double>(this->peers.size() + 1);
  for (auto& [id, peer] : this->peers) {
    peer.withheld += peer.unresponsive ? ScaledDuration(elapsed, share_of_each)
                                       : Duration::zero();
  }
}

bool PeerShares::OnPeerReport(const std::string& peer_id,
                              Incarnation incarnation,
                              Instant now) {
  this->AdvanceTo(now);
  Peer& peer = this->peers[peer_id];
  const bool new_incarnation =
      !peer.received || peer.incarnation != incarnation;
  const bool was_unresponsive = peer.unresponsive || !peer.received;
  peer.incarnation = incarnation;
  peer.received = true;
  peer.last_received_at = now;
  if (was_unresponsive) {
    this->accrued_time += std::exchange(peer.withheld, Duration::zero());
    peer.unresponsive = false;
    ++this->live_count;
    this->UpdateShare();
  }
  return new_incarnation;
}

void PeerShares::OnPeerListed(const std::string& peer_id, Instant now) {
  this->AdvanceTo(now);
  if (this->peers
          .try_emplace(peer_id, Peer{.listed_at = now, .unresponsive = true})
          .second) {
    this->UpdateShare();
  }
}

}  // namespace acacialug::quota
