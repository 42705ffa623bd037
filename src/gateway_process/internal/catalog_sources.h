#ifndef GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_
#define GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway_process {

// How far somebody knows, each behind the last: zero is nothing.
struct CatalogPositions {
  LogOffset configuration;
  LogOffset endpoints;
};

// Whom to ask for the catalog page, and how far it knew by its own word.
struct CatalogRequest {
  std::string peer;
  LogOffset known_configuration;  // to be told to it
  LogOffset configuration;
  LogOffset endpoints;
};

// Which peer, if any, to ask for what this process does not know. Has no
// socket, thread or clock. Not thread safe.
class CatalogSources {
 public:
  explicit CatalogSources(const std::string& own_id);

  // What this process knows, by now.
  void SetKnown(const CatalogPositions& newest, Instant now);
  // Whether the store answers this process' calls; at first it does not.
  void SetStoreServes(bool serves) { this->store_serves = serves; }

  // A peer told how far it knows, or is not heard any more.
  void OnReport(const std::string& peer,
                const CatalogPositions& positions,
                Instant now);
  void NoteLost(const std::string& peer);

  // A peer that can be asked knows what this process does not, whoever is to
  // bring it.
  bool AnyKnowsMore(Instant now) const;
  // Empty: nobody is to be asked now.
  std::optional<CatalogRequest> Next(Instant now) const;

  // It did not answer as a peer does.
  void NoteFailed(const CatalogRequest& catalog_request, Instant now);
  // It answered, and what it knows by now was taken (SetKnown); `configured`:
  // a configuration was in it.
  void NoteAnswered(const CatalogRequest& catalog_request,
                    bool configured,
                    Instant now);

 private:
  struct Peer {
    CatalogPositions positions;
    bool reported = false;
    Instant skipped_until{};  // it did not answer as a peer does
    Instant open_until{};     // its endpoints leave open what it tells of
    Instant busy_until{};     // it handed its configuration to others
  };

  bool HasNewerConfiguration(const Peer& peer, Instant now) const;
  bool HasNewerEndpoints(const Peer& peer, Instant now) const;
  // The newest that this process knows, or a peer tells of.
  LogOffset NewestConfiguration() const;
  void UpdateBehindSince(Instant now);
  // Whether a newer configuration is to come from a peer.
  bool NeedsConfiguration(Instant now) const;

  const std::uint64_t own_hash;
  std::map<std::string, Peer> peers;
  CatalogPositions known;
  // Since when a peer has told of a newer configuration than the one known.
  std::optional<Instant> behind_since;
  bool store_serves = false;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_INTERNAL_CATALOG_SOURCES_H_
