#ifndef CONFIGURATION_CLIENT_CONFIGURATION_CLIENT_H_
#define CONFIGURATION_CLIENT_CONFIGURATION_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/i_log.h"
#include "configuration/configuration_follower.h"
#include "framework/global/random_source.h"
#include "framework/http/http_types.h"

namespace acacialug::configuration_client {

// The log's stream that holds manifests.
inline constexpr std::string_view kConfigurationStream = "configuration";

struct ClientOptions {
  configuration::FollowerOptions follower;
  // The platform's log, created once on the client's thread.
  std::unique_ptr<cluster::ILog> log;
  // A newer manifest became active in this process; never an older one.
  std::function<void(const configuration::AcceptedManifest&)> on_active;
  // Operations ports of entries, which are queried for their active manifest
  // while the log does not answer. May be empty.
  std::vector<http::Address> peers;
};

// A ConfigurationFollower with its timer and the log around it. Lives on one
// thread with a Qt event loop; hooks run there, never from inside a call.
class ConfigurationClient {
 public:
  ConfigurationClient(ClientOptions client_options, RandomSource& random);
  ~ConfigurationClient();

  // Starts to read. Call once.
  void Start();

  // A peer reported this offset.
  void OnPeerOffset(LogOffset offset);

  // Whether no peer has a session with this process.
  void SetAlone(bool alone);

  // A peer sent the manifest that was accepted at `offset`. Errors:
  // kManifestInvalid, kManifestStale.
  Status OnPeerManifest(LogOffset offset, const std::string& text);

  // The process may serve: its active manifest is the newest known.
  bool ready() const;

  // Null before the first manifest.
  const configuration::AcceptedManifest* active() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::configuration_client

#endif  // CONFIGURATION_CLIENT_CONFIGURATION_CLIENT_H_
