#ifndef GATEWAY_ROUTE_TABLE_H_
#define GATEWAY_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/types/configuration.h"

namespace acacialug::gateway {

// Finds the route of a request: of its host's routes the one with the longest
// prefix that begins the path. Immutable; thread safe.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // Null: no route allows the request. `host` may carry a port.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Null: the configuration does not name the service.
  const ServiceTraits* FindService(const ServiceName& service) const;

  // Null: no customer holds the key.
  const Customer* FindCustomer(const KeyDigest& key) const;
  // Of the customer whose name has this hash (placement::HashText); null: none
  // is called so.
  const CustomerLimit* FindLimit(std::uint64_t name_hash) const;

  const Configuration& configuration() const { return *this->source; }

 private:
  std::shared_ptr<const Configuration> source;
  // Of each host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host;
  std::map<ServiceName, const ServiceTraits*> services;
  std::unordered_map<KeyDigest, const Customer*> by_key;
  std::unordered_map<std::uint64_t, const CustomerLimit*> limits;
};

// The service that a request of a route goes to. A request with the same name
// always gets the same one, so that every process decides alike.
const ServiceName& PickService(const Route& route, std::string_view request_id);

}  // namespace acacialug::gateway

#endif  // GATEWAY_ROUTE_TABLE_H_
