#include "gateway/route_table.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
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
  this->FindPriorities();
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

void RouteTable::FindPriorities() {
  // Of customers; empty: the route's counts.
  std::set<std::optional<std::uint32_t>> of_customers;
  if (this->source->customers) {
    for (const Customer& customer : *this->source->customers) {
      of_customers.insert(customer.priority);
    }
  }
  if (of_customers.empty()) {
    of_customers.insert(std::nullopt);
  }
  for (const Route& route : this->source->routes) {
    for (const WeightedService& choice : route.services) {
      std::set<Priorities>& of_service = this->priorities[choice.service];
      for (const std::optional<std::uint32_t>& customer : of_customers) {
        of_service.emplace(customer.value_or(route.priority), route.priority);
      }
      if (route.open_to_all) {
        of_service.emplace(route.priority, route.priority);
      }
    }
  }
}

std::uint32_t RouteTable::UrgencyOf(const Route& route,
                                    const Customer* customer,
                                    const ServiceName& service) const {
  const auto found = this->priorities.find(service);
  if (found == this->priorities.end()) {
    return 0;
  }
  const Priorities own{customer == nullptr
                           ? route.priority
                           : customer->priority.value_or(route.priority),
                       route.priority};
  return static_cast<std::uint32_t>(
      std::distance(found->second.begin(), found->second.lower_bound(own)));
}

bool RouteTable::HasPriorities(const ServiceName& service) const {
  const auto found = this->priorities.find(service);
  return found != this->priorities.end() && found->second.size() > 1;
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
