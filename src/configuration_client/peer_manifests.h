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

// A manifest as a peer has it in force.
struct PeerManifest {
  LogOffset offset;
  std::string text;
};

// The page that an entry's operations port shows for its peers, and how it is
// read: {"offset": n, "text": "..."}. Thread safe, both. Errors:
// kPlatformBadAnswer.
inline constexpr std::string_view kPeerManifestPath = "/manifest";
std::string RenderPeerManifest(const PeerManifest& manifest);
Result<PeerManifest> ParsePeerManifest(std::string_view body);

// Asks peers for what they have in force while the log is out. Lives on one
// thread, that of `client`, which outlives this.
class PeerManifests {
 public:
  PeerManifests(std::vector<http::Address> peer_addresses,
                http::Client& http_client);

  // Asks every peer at once and tells the newest answer when all have
  // answered or failed: the first one alone might come from a peer that was
  // itself cut off. No answer at all is not told. A call while one is under
  // way does nothing.
  void Ask(std::function<void(const PeerManifest& newest)> on_newest);

 private:
  struct Round;

  std::vector<http::Address> peers;
  http::Client& client;
  bool asking = false;
};

}  // namespace acacialug::configuration_client

#endif  // CONFIGURATION_CLIENT_PEER_MANIFESTS_H_
