#ifndef GATEWAY_ROUTE_TABLE_H_
#define GATEWAY_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/types/configuration.h"

namespace acacialug::gateway {

// Finds the route of a request: the one of its host's routes with the longest
// prefix of the path. Immutable and thread safe.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // Returns null if no route matches the request. `host` may include a port.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Returns null if the configuration does not name the service.
  const ServiceTraits* FindService(const ServiceName& service) const;

  // How urgent a request is among those for its service: 0 for the most urgent
  // that the configuration allows, then 1, and so on. Customers' priorities go
  // first, and routes' decide between customers that are alike. `customer` is
  // null for a request without one.
  std::uint32_t UrgencyOf(const Route& route,
                          const Customer* customer,
                          const ServiceName& service) const;
  // Whether requests for the service differ in urgency.
  bool HasPriorities(const ServiceName& service) const;

  // Returns null if no customer owns the key.
  const Customer* FindCustomer(const KeyDigest& key) const;
  // The limit of the customer whose name has this hash (placement::HashText).
  // Returns null if there is no such customer.
  const CustomerLimit* FindLimit(std::uint64_t name_hash) const;

  const Configuration& configuration() const { return *this->source; }

 private:
  void FindPriorities();

  std::shared_ptr<const Configuration> source;
  // The routes of each host, those with the longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host;
  std::map<ServiceName, const ServiceTraits*> services;
  // The pairs of priorities that requests of a service have, the most urgent
  // first: the customer's, or the route's without one, and the route's.
  using Priorities = std::pair<std::uint32_t, std::uint32_t>;
  std::map<ServiceName, std::set<Priorities>> priorities;
  std::unordered_map<KeyDigest, const Customer*> by_key;
  std::unordered_map<std::uint64_t, const CustomerLimit*> limits;
};

// Chooses the service for a request of a route. Requests with the same id
// always get the same service, so that all processes make the same choice.
const ServiceName& PickService(const Route& route, std::string_view request_id);

}  // namespace acacialug::gateway

#endif  // GATEWAY_ROUTE_TABLE_H_
