#include "admission/urgency_reserve.h"

#include <algorithm>
#include <cmath>

namespace acacialug::admission {
namespace {

// Time from a placement until it is in the load data of all processes, beside
// the age of their reports: the reservation's round trip and a poll.
constexpr Duration kReactionTime = 100ms;
// A process may use one exemption at once: more would come in a row.
constexpr double kMaxExemptions = 1.0;
// Rates beyond this are mistakes; the planned size is a tenth of it.
constexpr double kMaxRate = 1e6;

std::uint32_t LevelOf(std::uint32_t priority) {
  return std::min(priority, UrgencyReserve::kLeastUrgent);
}

bool IsUsable(double rate) {
  return std::isfinite(rate) && rate > 0 && rate <= kMaxRate;
}

}  // namespace

UrgencyReserve::UrgencyReserve(Options reserve_options)
    : options(reserve_options) {}

double UrgencyReserve::Count::At(Instant now, Duration memory) const {
  const double age = std::max(0.0, Seconds(now - this->at));
  return this->value * std::exp(-age / Seconds(memory));
}

void UrgencyReserve::Count::Add(Instant now, Duration memory) {
  this->value = this->At(now, memory) + 1;
  this->at = now;
}

double UrgencyReserve::RateOf(const Level& level, Instant now) const {
  return level.arrived.At(now, this->options.demand_memory) /
         Seconds(this->options.demand_memory);
}

double UrgencyReserve::ServedShare(Instant now) const {
  const Duration memory = this->options.service_memory;
  const double asked = this->arrived.At(now, memory);
  return asked <= 0 ? 1 : std::min(1.0, this->placed.At(now, memory) / asked);
}

void UrgencyReserve::NoteRequest(std::uint32_t priority, Instant now) {
  Level& level =
      this->levels
          .try_emplace(LevelOf(priority),
                       Level{.exemptions = this->options.first_exemption})
          .first->second;
  level.arrived.Add(now, this->options.demand_memory);
  this->arrived.Add(now, this->options.service_memory);
  level.exemptions =
      std::min(kMaxExemptions, level.exemptions + this->options.least_service *
                                                      this->ServedShare(now));
}

std::vector<LevelDemand> UrgencyReserve::Report(Instant now) const {
  // One request in ten seconds; less makes no place.
  constexpr double kMinRate = 0.1;
  std::vector<LevelDemand> demand;
  for (const auto& [priority, level] : this->levels) {
    const double rate = this->RateOf(level, now);
    if (rate >= kMinRate) {
      demand.push_back({.priority = priority, .requests_per_second = rate});
    }
  }
  return demand;
}

void UrgencyReserve::SetPeer(const std::string& peer,
                             const std::vector<LevelDemand>& demand,
                             Instant now) {
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return now - entry.second.at > this->options.peer_memory;
  });
  Peer& reporter = this->peers[peer];
  reporter.at = now;
  reporter.rates.clear();
  for (const LevelDemand& level : demand) {
    if (IsUsable(level.requests_per_second)) {
      reporter.rates.emplace(LevelOf(level.priority),
                             level.requests_per_second);
    }
  }
}

double UrgencyReserve::DemandAbove(std::uint32_t priority, Instant now) const {
  const std::uint32_t own = LevelOf(priority);
  double rate = 0;
  for (const auto& [level, demand] : this->levels) {
    rate += level < own ? this->RateOf(demand, now) : 0;
  }
  for (const auto& [id, peer] : this->peers) {
    if (now - peer.at > this->options.peer_memory) {
      continue;
    }
    for (const auto& [level, reported] : peer.rates) {
      rate += level < own ? reported : 0;
    }
  }
  return rate;
}

std::size_t UrgencyReserve::PlacesFor(std::uint32_t priority,
                                      Duration data_age,
                                      Instant now) const {
  if (this->Exempt(priority)) {
    return 0;
  }
  const double expected =
      this->DemandAbove(priority, now) *
      Seconds(std::max(Duration::zero(), data_age) + kReactionTime);
  // Arrivals vary by the root of their number.
  return static_cast<std::size_t>(std::ceil(expected + std::sqrt(expected)));
}

bool UrgencyReserve::Exempt(std::uint32_t priority) const {
  const auto level = this->levels.find(LevelOf(priority));
  return level != this->levels.end() && level->second.exemptions >= 1;
}

void UrgencyReserve::NotePlaced(std::uint32_t priority, Instant now) {
  this->placed.Add(now, this->options.service_memory);
  const auto level = this->levels.find(LevelOf(priority));
  if (level != this->levels.end()) {
    level->second.exemptions = std::max(0.0, level->second.exemptions - 1);
  }
}

}  // namespace acacialug::admission
