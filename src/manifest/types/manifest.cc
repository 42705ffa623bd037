#include "manifest/types/manifest.h"

#include <algorithm>

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
