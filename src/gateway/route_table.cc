#include "gateway/route_table.h"

#include <algorithm>
#include <utility>

#include "placement/types/hashing.h"

namespace acacialug::gateway {

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : source(std::move(configuration)) {
  for (const Route& route : this->source->routes) {
    this->by_host[route.host].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* left, const Route* right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
  for (const ServiceTraits& service : this->source->services) {
    this->services.emplace(service.name, &service);
  }
  if (this->source->customers) {
    for (const Customer& customer : *this->source->customers) {
      this->limits.emplace(placement::HashText(customer.name.text),
                           &customer.limit);
      for (const KeyDigest& key : customer.keys) {
        this->by_key.emplace(key, &customer);
      }
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto routes = this->by_host.find(host.substr(0, host.find(':')));
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  const auto found = std::find_if(routes->second.begin(), routes->second.end(),
                                  [path](const Route* route) {
                                    return path.starts_with(route->path_prefix);
                                  });
  return found == routes->second.end() ? nullptr : *found;
}

const ServiceTraits* RouteTable::FindService(const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second;
}

const Customer* RouteTable::FindCustomer(const KeyDigest& key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : found->second;
}

const CustomerLimit* RouteTable::FindLimit(std::uint64_t name_hash) const {
  const auto found = this->limits.find(name_hash);
  return found == this->limits.end() ? nullptr : found->second;
}

const ServiceName& PickService(const Route& route,
                               std::string_view request_id) {
  std::uint64_t total = 0;
  for (const WeightedService& choice : route.services) {
    total += choice.weight;
  }
  if (total == 0) {
    return route.services.front().service;
  }
  std::uint64_t point = placement::HashText(request_id) % total;
  for (const WeightedService& choice : route.services) {
    if (point < choice.weight) {
      return choice.service;
    }
    point -= choice.weight;
  }
  return route.services.back().service;
}

}  // namespace acacialug::gateway
