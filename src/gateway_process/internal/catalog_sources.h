#ifndef GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_
#define GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway_process {

// What a process knows, each behind the last one; zero: nothing.
struct CatalogPositions {
  NextVersion configuration;
  LogOffset endpoints;
  // Of a peer: no change before it is held back there. At most `endpoints`.
  LogOffset endpoints_in_effect;
};

// The peer to request the catalog page from, and the positions it reported.
struct CatalogRequest {
  std::string peer;
  NextVersion known_configuration;  // sent to the peer
  NextVersion configuration;
  LogOffset endpoints;
  LogOffset endpoints_in_effect;
};

// Chooses the peer, if any, to query for what this process does not know. Has
// no socket, thread or clock. Not thread safe.
class CatalogSources {
 public:
  explicit CatalogSources(const std::string& own_id);

  // What this process knows at `now`.
  void SetKnown(const CatalogPositions& newest, Instant now);
  // Whether the store answers this process's calls; initially it does not.
  void SetStoreServes(bool serves) { this->store_serves = serves; }

  // A peer reported its positions, or is no longer live.
  void OnReport(const std::string& peer,
                const CatalogPositions& positions,
                Instant now);
  void NoteLost(const std::string& peer);

  // Whether a live peer has reported these positions or later ones.
  bool AnyKnows(const CatalogPositions& positions) const;
  // Whether a live peer knows what this process does not, from whichever source
  // it is to come. A peer that does not answer counts too.
  bool AnyKnowsMore(Instant now) const;
  // Empty: no peer is to be queried now.
  std::optional<CatalogRequest> Next(Instant now) const;

  // The peer did not answer as a peer does.
  void NoteFailed(const CatalogRequest& catalog_request, Instant now);
  // The peer answered, and its page was applied (SetKnown); `configured`: the
  // page contained a configuration.
  void NoteAnswered(const CatalogRequest& catalog_request,
                    bool configured,
                    Instant now);

 private:
  struct Peer {
    CatalogPositions positions;
    bool reported = false;
    Instant skipped_until{};  // it did not answer as a peer does
    // Its endpoints leave open what it reports, unless it has reported a later
    // position than these since.
    Instant open_until{};
    LogOffset open_at;
    LogOffset open_in_effect;
    Instant busy_until{};  // it sends its configuration to other peers
  };

  bool HasNewerConfiguration(const Peer& peer) const;
  bool HasNewerEndpoints(const Peer& peer, Instant now) const;
  // The newest that this process knows or a peer reports.
  NextVersion NewestConfiguration() const;
  void UpdateBehindSince(Instant now);
  // Whether a newer configuration is to come from a peer.
  bool NeedsConfiguration(Instant now) const;

  const std::uint64_t own_hash;
  std::map<std::string, Peer> peers;
  CatalogPositions known;
  // Since when a peer has reported a newer configuration than the known one.
  std::optional<Instant> behind_since;
  bool store_serves = false;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_
