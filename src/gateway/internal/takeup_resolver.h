#ifndef GATEWAY_INTERNAL_TAKEUP_RESOLVER_H_
#define GATEWAY_INTERNAL_TAKEUP_RESOLVER_H_

#include <functional>
#include <memory>

#include "gateway/internal/relay.h"
#include "gateway/internal/stream_origins.h"

namespace acacialug::gateway {

// Binds requests that continue a stream to the software version at which it
// began, or refuses them. Not thread safe.
class TakeupResolver {
 public:
  struct Options {
    const GatewayHooks& hooks;
    StreamOrigins& origins;
    std::function<ServiceState&(const ServiceName& service)> state_of;
  };

  explicit TakeupResolver(Options resolver_options)
      : options(std::move(resolver_options)) {}

  // Runs `place` when the relay may be placed: at once, unless it continues a
  // stream whose version has to be found out.
  void Resolve(const std::shared_ptr<Relay>& relay,
               std::function<void()> place);

 private:
  void OnOrigin(Relay& relay,
                const StreamOrigins::Origin& origin,
                const std::function<void()>& place) const;
  // Moves the relay to the service that has the version, if its own has not.
  void FollowVersion(Relay& relay) const;

  const Options options;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_TAKEUP_RESOLVER_H_
