#include "agent/internal/turn_taker.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>
#include <vector>

namespace acacialug::agent {
namespace {

constexpr std::size_t kLongestName = 64;  // of a service, in a stream's name

}  // namespace

std::string TurnStream(const manifest::Endpoint& endpoint) {
  std::string service = endpoint.service.text.substr(0, kLongestName);
  std::replace_if(
      service.begin(), service.end(),
      [](unsigned char byte) { return std::isalnum(byte) == 0; }, '-');
  return "orders-" +
         std::string(NameOf(protocol::kEndpointRoleNames, endpoint.role)) +
         "-" + service;
}

TurnTaker::TurnTaker(const AgentOptions& agent_options, RandomSource& random)
    : options(agent_options),
      utilisation(agent_options.utilisation_memory),
      turn_keeper({.endpoint = agent_options.endpoint}, random) {}

void TurnTaker::SetPool(const manifest::Manifest& manifest,
                        const manifest::Endpoint& endpoint,
                        Instant now) {
  std::vector<EndpointId> list =
      manifest.PoolMembers(endpoint.service, endpoint.role);
  this->members = list.size();
  const std::size_t keep =
      manifest.MinimumServing(endpoint.service, endpoint.role, this->members);
  this->turn_keeper.SetPool(
      {.stream = TurnStream(endpoint),
       .members = std::set<EndpointId>(list.begin(), list.end()),
       .allowed_out = this->members - std::min(this->members, keep),
       .manifest = manifest.offset},
      now);
}

bool TurnTaker::MayGo(bool idle, bool out, Instant now) const {
  if (!this->options.rules.wait_for_turn) {
    return true;
  }
  const std::optional<std::size_t> before =
      this->turn_keeper.PermittedRank(now);
  return before && (out || this->RestCarries(*before, idle, now));
}

// Those before this one in the order may be out or about to go: the rest is
// what is left without them and this one. An endpoint that is down for another
// reason is not known here; the others carry its load already, and so it shows
// in this one's own.
bool TurnTaker::RestCarries(std::size_t before, bool idle, Instant now) const {
  if (before + 1 >= this->members) {
    return idle;
  }
  const std::optional<double> busy = this->utilisation.At(now);
  const auto rest = static_cast<double>(this->members - before - 1);
  return busy && *busy * static_cast<double>(this->members) / rest <=
                     this->options.busiest_rest;
}

}  // namespace acacialug::agent
