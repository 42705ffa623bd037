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

void RelayContext::SendRelease(const EndpointRecord& endpoint,
                               const http::Request& release) const {
  if (!this->health.Resting(endpoint.id, this->hooks.now())) {
    this->sender.Send(endpoint, release,
                      {.on_error = [](const Error&, bool) {}});
  }
}

std::vector<log::Field> RelayContext::AvailabilityFields(
    const ServiceName& service) const {
  const Instant now = this->hooks.now();
  std::size_t resting = 0;
  std::size_t without_share = 0;
  const auto endpoints = this->catalog.ForService(service);
  for (const EndpointRecord* const endpoint : endpoints) {
    const bool rests = this->health.Resting(endpoint->id, now);
    resting += rests ? 1 : 0;
    without_share += !rests && !this->Available(*endpoint) ? 1 : 0;
  }
  return {{"endpoints", endpoints.size()},
          {"resting", resting},
          {"without_share", without_share}};
}

}  // namespace acacialug::gateway
