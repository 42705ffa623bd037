#include "quota/peer_shares.h"

#include <utility>

namespace acacialug::quota {
namespace {

// Peers are counted again after this time at most; news of them count at once.
constexpr Duration kCountInterval = 20ms;

Duration Part(Duration whole, double share) {
  return FromSeconds(Seconds(whole) * share);
}

}  // namespace

bool PeerShares::Counts(const Peer& peer, Instant now) const {
  return peer.heard ? now - peer.heard_at < this->options.retention
                    : now - peer.listed_at < this->options.listed_retention;
}

void PeerShares::Count(Instant now) {
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return !this->Counts(entry.second, now);
  });
  const Duration heartbeat_timeout =
      this->options.heartbeat_timeout(this->peers.size());
  std::size_t silent = 0;
  for (auto& [id, peer] : this->peers) {
    peer.silent = !peer.heard || now - peer.heard_at >= heartbeat_timeout;
    silent += peer.silent ? 1 : 0;
  }
  this->heard_count = this->peers.size() - silent;
  this->SetShare();
}

void PeerShares::SetShare() {
  this->own_share = static_cast<double>(this->heard_count + 1) /
                    static_cast<double>(this->peers.size() + 1);
}

void PeerShares::Pass(Instant now) {
  if (this->passed_at == Instant{}) {
    this->passed_at = now;
    return;
  }
  const Duration passed = now - this->passed_at;
  if (passed < kCountInterval) {
    return;
  }
  this->passed_at = now;
  // Whoever fell silent meanwhile counts as silent all the while.
  this->Count(now);
  this->accrued_time += Part(passed, this->own_share);
  const double each = 1.0 / static_cast<double>(this->peers.size() + 1);
  for (auto& [id, peer] : this->peers) {
    peer.withheld += peer.silent ? Part(passed, each) : Duration::zero();
  }
}

bool PeerShares::OnPeerReport(const std::string& peer_id,
                              Incarnation incarnation,
                              Instant now) {
  this->Pass(now);
  Peer& peer = this->peers[peer_id];
  const bool other_life = !peer.heard || peer.incarnation != incarnation;
  const bool was_silent = peer.silent || !peer.heard;
  peer.incarnation = incarnation;
  peer.heard = true;
  peer.heard_at = now;
  if (was_silent) {
    this->accrued_time += std::exchange(peer.withheld, Duration::zero());
    peer.silent = false;
    ++this->heard_count;
    this->SetShare();
  }
  return other_life;
}

void PeerShares::OnPeerListed(const std::string& peer_id, Instant now) {
  this->Pass(now);
  if (this->peers.try_emplace(peer_id, Peer{.listed_at = now, .silent = true})
          .second) {
    this->SetShare();
  }
}

}  // namespace acacialug::quota
