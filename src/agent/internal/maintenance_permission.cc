#include "agent/internal/maintenance_permission.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>
#include <vector>

namespace acacialug::agent {
namespace {

constexpr std::size_t kMaxServiceNameBytes = 64;  // in a stream's name

}  // namespace

std::string MaintenanceStream(const manifest::Endpoint& endpoint) {
  std::string service = endpoint.service.text.substr(0, kMaxServiceNameBytes);
  std::replace_if(
      service.begin(), service.end(),
      [](unsigned char byte) { return std::isalnum(byte) == 0; }, '-');
  return "orders-" +
         std::string(NameOf(protocol::kEndpointRoleNames, endpoint.role)) +
         "-" + service;
}

MaintenancePermission::MaintenancePermission(const AgentOptions& agent_options,
                                             RandomSource& random)
    : options(agent_options),
      utilisation(agent_options.utilisation_memory),
      client({.endpoint = agent_options.endpoint}, random) {}

void MaintenancePermission::SetPool(const manifest::Manifest& manifest,
                                    const manifest::Endpoint& endpoint,
                                    Instant now) {
  std::vector<EndpointId> list =
      manifest.PoolMembers(endpoint.service, endpoint.role);
  this->members = list.size();
  const std::size_t keep =
      manifest.MinimumServing(endpoint.service, endpoint.role, this->members);
  this->client.SetPool(
      {.stream = MaintenanceStream(endpoint),
       .members = std::set<EndpointId>(list.begin(), list.end()),
       .allowed_out = this->members - std::min(this->members, keep),
       .manifest = manifest.offset},
      now);
}

bool MaintenancePermission::MayLeaveService(bool idle,
                                            bool out,
                                            Instant now) const {
  if (!this->options.rules.wait_for_maintenance) {
    return true;
  }
  const std::optional<std::size_t> members_ahead =
      this->client.PermittedRank(now);
  return members_ahead &&
         (out || this->RestCanCarryLoad(*members_ahead, idle, now));
}

// The endpoints ahead of this one in the queue may be out of service or about
// to leave: the rest is the pool without them and this one. An endpoint that is
// down for another reason is not known here; the others already carry its load,
// so it shows in this endpoint's own load.
bool MaintenancePermission::RestCanCarryLoad(std::size_t members_ahead,
                                             bool idle,
                                             Instant now) const {
  if (members_ahead + 1 >= this->members) {
    return idle;
  }
  const std::optional<double> busy = this->utilisation.At(now);
  const auto rest = static_cast<double>(this->members - members_ahead - 1);
  return busy && *busy * static_cast<double>(this->members) / rest <=
                     this->options.max_remaining_utilisation;
}

}  // namespace acacialug::agent
