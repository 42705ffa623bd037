#include "gateway_process/internal/catalog_sources.h"

#include <algorithm>
#include <compare>

#include "placement/types/hashing.h"

namespace acacialug::gateway_process {
namespace {

// A peer that died still counts as live for this long.
constexpr Duration kFailedPeerPause = 2s;
// While the store serves this process, a newer configuration is left to it for
// this long: its link is wider than a gateway's, and one page for each peer
// went through the link of one gateway. A working store has delivered it by
// then, also to a process that reads only after a report (200 ms) and has a
// twelfth of a core to decode it (0.1 s); the rest of the time suffices to
// query two peers.
constexpr Duration kStoreGracePeriod = 500ms;
// Delay before a peer that is busy sending its configuration is queried again.
constexpr Duration kBusyPeerPause = 250ms;

// What a peer can deliver that this process does not know, greater for a better
// peer. Among peers that offer the same, each process queries another one: all
// would query the first and saturate its link.
struct Offer {
  NextVersion configuration;  // zero: none is to be requested
  LogOffset endpoints;        // zero: none
  std::uint64_t weight = 0;

  bool empty() const {
    return this->configuration == NextVersion() &&
           this->endpoints == LogOffset();
  }
  friend auto operator<=>(const Offer&, const Offer&) = default;
};

}  // namespace

CatalogSources::CatalogSources(const std::string& own_id)
    : own_hash(placement::HashText(own_id)) {}

void CatalogSources::SetKnown(const CatalogPositions& newest, Instant now) {
  if (newest.configuration > this->known.configuration) {
    this->behind_since.reset();
  }
  this->known = newest;
  this->UpdateBehindSince(now);
}

void CatalogSources::OnReport(const std::string& peer,
                              const CatalogPositions& positions,
                              Instant now) {
  Peer& reporter = this->peers[peer];
  reporter.positions = positions;
  reporter.open_in_effect =
      std::min(reporter.open_in_effect, positions.endpoints_in_effect);
  reporter.reported = true;
  this->UpdateBehindSince(now);
}

void CatalogSources::NoteLost(const std::string& peer) {
  this->peers[peer].reported = false;
}

void CatalogSources::UpdateBehindSince(Instant now) {
  if (this->NewestConfiguration() == this->known.configuration) {
    this->behind_since.reset();
  } else if (!this->behind_since) {
    this->behind_since = now;
  }
}

NextVersion CatalogSources::NewestConfiguration() const {
  NextVersion newest = this->known.configuration;
  for (const auto& [id, peer] : this->peers) {
    newest = std::max(
        newest, peer.reported ? peer.positions.configuration : NextVersion());
  }
  return newest;
}

bool CatalogSources::HasNewerConfiguration(const Peer& peer) const {
  return peer.reported &&
         peer.positions.configuration > this->known.configuration;
}

bool CatalogSources::HasNewerEndpoints(const Peer& peer, Instant now) const {
  const bool open = now < peer.open_until &&
                    peer.positions.endpoints <= peer.open_at &&
                    peer.positions.endpoints_in_effect <= peer.open_in_effect;
  return peer.reported && !open &&
         peer.positions.endpoints > this->known.endpoints;
}

// A process without a configuration does not leave it to the store, since it
// serves no request until it has one. Other processes leave it to the store for
// kStoreGracePeriod at most, since the store's calls may hang.
bool CatalogSources::NeedsConfiguration(Instant now) const {
  return this->behind_since &&
         (!this->store_serves || this->known.configuration == NextVersion() ||
          now - *this->behind_since >= kStoreGracePeriod);
}

bool CatalogSources::AnyKnows(const CatalogPositions& positions) const {
  return std::any_of(
      this->peers.begin(), this->peers.end(), [&positions](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.reported &&
               peer.positions.configuration >= positions.configuration &&
               peer.positions.endpoints >= positions.endpoints &&
               peer.positions.endpoints_in_effect >=
                   positions.endpoints_in_effect;
      });
}

bool CatalogSources::AnyKnowsMore(Instant now) const {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [this, now](const auto& entry) {
                       return this->HasNewerConfiguration(entry.second) ||
                              this->HasNewerEndpoints(entry.second, now);
                     });
}

std::optional<CatalogRequest> CatalogSources::Next(Instant now) const {
  const bool needs_configuration = this->NeedsConfiguration(now);
  const std::pair<const std::string, Peer>* best = nullptr;
  Offer best_offer;
  for (const auto& entry : this->peers) {
    const auto& [id, peer] = entry;
    if (now < peer.skipped_until) {
      continue;
    }
    Offer offer;
    if (needs_configuration && now >= peer.busy_until &&
        this->HasNewerConfiguration(peer)) {
      offer.configuration = peer.positions.configuration;
    }
    if (this->HasNewerEndpoints(peer, now)) {
      offer.endpoints = peer.positions.endpoints;
    }
    if (offer.empty()) {
      continue;
    }
    offer.weight =
        placement::RendezvousWeight(this->own_hash, placement::HashText(id));
    if (best == nullptr || offer > best_offer) {
      best = &entry;
      best_offer = offer;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return CatalogRequest{
      .peer = best->first,
      // A configuration that the store is to bring is reported as known.
      .known_configuration = needs_configuration ? this->known.configuration
                                                 : this->NewestConfiguration(),
      .configuration = best->second.positions.configuration,
      .endpoints = best->second.positions.endpoints,
      .endpoints_in_effect = best->second.positions.endpoints_in_effect};
}

void CatalogSources::NoteFailed(const CatalogRequest& catalog_request,
                                Instant now) {
  this->peers[catalog_request.peer].skipped_until = now + kFailedPeerPause;
}

// What the peer did not deliver is requested from other peers meanwhile, and
// the rest from this peer; neither is a failure.
void CatalogSources::NoteAnswered(const CatalogRequest& catalog_request,
                                  bool configured,
                                  Instant now) {
  Peer& peer = this->peers[catalog_request.peer];
  if (!configured &&
      catalog_request.configuration > catalog_request.known_configuration) {
    peer.busy_until = now + kBusyPeerPause;
  }
  // A peer that waits for lapsed records reports changes that its catalog
  // leaves open. If it were queried repeatedly as the best of the peers that
  // know equally much, it would keep this process from the settled knowledge of
  // the others.
  if (catalog_request.endpoints > this->known.endpoints) {
    peer.open_until = now + kFailedPeerPause;
    peer.open_at = catalog_request.endpoints;
    peer.open_in_effect = catalog_request.endpoints_in_effect;
  }
}

}  // namespace acacialug::gateway_process
