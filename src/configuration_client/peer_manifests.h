#ifndef CONFIGURATION_CLIENT_PEER_MANIFESTS_H_
#define CONFIGURATION_CLIENT_PEER_MANIFESTS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"
#include "framework/http/http_client.h"

namespace acacialug::configuration_client {

// A peer's active manifest.
struct PeerManifest {
  LogOffset offset;
  std::string text;
};

// Write and parse the page that an entry's operations port serves to its
// peers: {"offset": n, "text": "..."}. Both are thread safe. Errors:
// kPlatformBadAnswer.
inline constexpr std::string_view kPeerManifestPath = "/manifest";
std::string RenderPeerManifest(const PeerManifest& manifest);
Result<PeerManifest> ParsePeerManifest(std::string_view body);

// Fetches the peers' active manifests during an outage of the log. Lives on
// one thread, that of `client`, which outlives this.
class PeerManifests {
 public:
  PeerManifests(std::vector<http::Address> peer_addresses,
                http::Client& http_client);

  // Queries all peers at once and passes the newest answer to `on_newest` when
  // all have answered or failed: the first answer might come from a peer that
  // was itself cut off. Without any answer, `on_newest` is not called. A call
  // during a running fetch does nothing.
  void FetchNewest(std::function<void(const PeerManifest& newest)> on_newest);

 private:
  struct Round;

  std::vector<http::Address> peers;
  http::Client& client;
  bool fetching = false;
};

}  // namespace acacialug::configuration_client

#endif  // CONFIGURATION_CLIENT_PEER_MANIFESTS_H_
