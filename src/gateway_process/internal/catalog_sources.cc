#include "gateway_process/internal/catalog_sources.h"

#include <algorithm>
#include <compare>

#include "placement/types/hashing.h"

namespace acacialug::gateway_process {
namespace {

// One that died is believed to live for so long.
constexpr Duration kPassedOver = 2s;
// While the store serves this process, a newer configuration is left to it for
// this long: its link is wide, a gateway's is not, and one page for each peer
// went over the link of one. A store that works has brought it by then, also to
// a process that reads only when it is told (200 ms) and has a twelfth of a
// core to decode it (0.1 s); and then there is time left for two peers.
constexpr Duration kStoreFirst = 500ms;
// A peer that hands its configuration to others now is asked for it after this.
constexpr Duration kTurnedAwayPause = 250ms;

// What a peer can hand over that this process does not know, greater for a
// better peer. Of those that offer the same each process asks another: all
// would ask the first, and choke its link.
struct Offer {
  LogOffset configuration;  // zero: none that is to be asked for
  LogOffset endpoints;      // zero: none
  std::uint64_t weight = 0;

  bool empty() const {
    return this->configuration == LogOffset() && this->endpoints == LogOffset();
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

LogOffset CatalogSources::NewestConfiguration() const {
  LogOffset newest = this->known.configuration;
  for (const auto& [id, peer] : this->peers) {
    newest = std::max(
        newest, peer.reported ? peer.positions.configuration : LogOffset());
  }
  return newest;
}

bool CatalogSources::HasNewerConfiguration(const Peer& peer,
                                           Instant now) const {
  return peer.reported && now >= peer.skipped_until &&
         peer.positions.configuration > this->known.configuration;
}

bool CatalogSources::HasNewerEndpoints(const Peer& peer, Instant now) const {
  return peer.reported && now >= peer.skipped_until && now >= peer.open_until &&
         peer.positions.endpoints > this->known.endpoints;
}

// Not left to the store by a process that has none, and serves nobody until it
// has; nor for longer than kStoreFirst, since the store's calls may hang.
bool CatalogSources::NeedsConfiguration(Instant now) const {
  return this->behind_since &&
         (!this->store_serves || this->known.configuration == LogOffset() ||
          now - *this->behind_since >= kStoreFirst);
}

bool CatalogSources::AnyKnowsMore(Instant now) const {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [this, now](const auto& entry) {
                       return this->HasNewerConfiguration(entry.second, now) ||
                              this->HasNewerEndpoints(entry.second, now);
                     });
}

std::optional<CatalogRequest> CatalogSources::Next(Instant now) const {
  const bool needs_configuration = this->NeedsConfiguration(now);
  const std::pair<const std::string, Peer>* best = nullptr;
  Offer best_offer;
  for (const auto& entry : this->peers) {
    const auto& [id, peer] = entry;
    Offer offer;
    if (needs_configuration && now >= peer.busy_until &&
        this->HasNewerConfiguration(peer, now)) {
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
      // What the store is to bring is told as known.
      .known_configuration = needs_configuration ? this->known.configuration
                                                 : this->NewestConfiguration(),
      .configuration = best->second.positions.configuration,
      .endpoints = best->second.positions.endpoints};
}

void CatalogSources::NoteFailed(const CatalogRequest& catalog_request,
                                Instant now) {
  this->peers[catalog_request.peer].skipped_until = now + kPassedOver;
}

// What the peer did not hand over is asked of others meanwhile, and the rest of
// it: neither is a failure.
void CatalogSources::NoteAnswered(const CatalogRequest& catalog_request,
                                  bool configured,
                                  Instant now) {
  Peer& peer = this->peers[catalog_request.peer];
  if (!configured &&
      catalog_request.configuration > catalog_request.known_configuration) {
    peer.busy_until = now + kTurnedAwayPause;
  }
  // A peer that waits for lapsed records tells of changes that its catalog
  // leaves open. Asked again and again, being the best of those that know as
  // much, it would keep others' settled knowledge from this process.
  if (catalog_request.endpoints > this->known.endpoints) {
    peer.open_until = now + kPassedOver;
  }
}

}  // namespace acacialug::gateway_process
