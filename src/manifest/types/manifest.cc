#include "manifest/types/manifest.h"

#include <algorithm>
#include <cmath>

namespace acacialug::manifest {
namespace {

template <typename Item, typename Predicate>
const Item* FindIf(const std::vector<Item>& items, Predicate predicate) {
  const auto found = std::find_if(items.begin(), items.end(), predicate);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const Service* Manifest::FindService(const ServiceName& name) const {
  return FindIf(this->services,
                [&name](const Service& item) { return item.name == name; });
}

const Service* Manifest::FindServiceOfModel(const ModelName& model) const {
  return FindIf(this->services, [&model](const Service& item) {
    return std::find(item.models.begin(), item.models.end(), model) !=
           item.models.end();
  });
}

const Endpoint* Manifest::FindEndpoint(const EndpointId& id) const {
  return FindIf(this->endpoints,
                [&id](const Endpoint& item) { return item.id == id; });
}

const CallerLimits* Manifest::FindCaller(const CallerName& name) const {
  return FindIf(this->callers, [&name](const CallerLimits& item) {
    return item.caller == name;
  });
}

std::vector<EndpointId> Manifest::PoolMembers(
    const ServiceName& service,
    protocol::EndpointRole role) const {
  std::vector<EndpointId> members;
  for (const Endpoint& endpoint : this->endpoints) {
    if (endpoint.service == service && endpoint.role == role &&
        !endpoint.leaving) {
      members.push_back(endpoint.id);
    }
  }
  return members;
}

std::size_t Manifest::MinimumServing(const ServiceName& service,
                                     protocol::EndpointRole role,
                                     std::size_t members) const {
  const Service* found = this->FindService(service);
  if (found == nullptr || members == 0) {
    return 0;
  }
  const PoolRule* rule = FindIf(
      found->pools, [role](const PoolRule& item) { return item.role == role; });
  if (rule == nullptr) {
    return members - std::max<std::size_t>(1, members / 2);
  }
  // Rounded up, except for the rounding error of the share's binary form.
  constexpr double kRounding = 1e-9;
  const auto by_share = static_cast<std::size_t>(std::ceil(
      rule->minimum_serving_share * static_cast<double>(members) - kRounding));
  return std::max<std::size_t>(rule->minimum_serving, by_share);
}

Duration Manifest::DistanceBetween(const FailureDomain& from,
                                   const FailureDomain& to) const {
  const DomainDistance* distance =
      FindIf(this->distances, [&](const DomainDistance& item) {
        return (item.from == from && item.to == to) ||
               (item.from == to && item.to == from);
      });
  return distance == nullptr ? Duration{} : distance->one_way;
}

}  // namespace acacialug::manifest
