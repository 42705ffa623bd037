#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

std::uint32_t RelayContext::MessagesOf(const EndpointRecord& endpoint) const {
  return endpoint.role == EndpointRole::kDecode && this->dialect.write_reserve
             ? 2
             : 1;
}

bool RelayContext::Available(const EndpointRecord& endpoint) const {
  const Instant now = this->hooks.now();
  return !this->health.Resting(endpoint.id, now) &&
         this->limits.Allows(LoadTable::KeyOf(endpoint.id),
                             this->MessagesOf(endpoint), now);
}

std::vector<const EndpointRecord*> RelayContext::AvailableEndpoints(
    const ServiceName& service) const {
  std::vector<const EndpointRecord*> endpoints =
      this->catalog.ForService(service);
  std::erase_if(endpoints, [this](const EndpointRecord* endpoint) {
    return !this->Available(*endpoint);
  });
  return endpoints;
}

}  // namespace acacialug::gateway
