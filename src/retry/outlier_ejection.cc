#include "retry/outlier_ejection.h"

#include <algorithm>

namespace acacialug::retry {
namespace {

constexpr double kLatencyWeight = 0.2;
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

OutlierEjection::OutlierEjection(Options ejection_options)
    : options(ejection_options) {}

void OutlierEjection::SetMembers(const std::vector<EndpointId>& newest) {
  std::map<EndpointId, Health> kept;
  this->ejected = 0;
  for (const EndpointId& endpoint : newest) {
    const Health& health = kept[endpoint] = this->members[endpoint];
    this->ejected += health.ejected ? 1 : 0;
  }
  this->members.swap(kept);
}

bool OutlierEjection::MayEject() const {
  const auto size = static_cast<double>(this->members.size());
  const auto share = static_cast<std::size_t>(this->options.max_ejected * size);
  // At least one endpoint may be ejected, but never the only endpoint.
  return this->members.size() > 1 &&
         this->ejected < std::max<std::size_t>(share, 1);
}

void OutlierEjection::Eject(Health& health, Instant now) {
  if (health.ejected || !this->MayEject()) {
    return;
  }
  const std::uint32_t doublings = std::min(health.ejections, kMaxDoublings);
  health.ejected_until =
      now + std::min(this->options.base_duration * (1U << doublings),
                     this->options.max_duration);
  health.ejected = true;
  health.probation = false;
  ++health.ejections;
  health.samples = 0;
  ++this->ejected;
}

void OutlierEjection::NoteSuccess(const EndpointId& endpoint) {
  const auto found = this->members.find(endpoint);
  if (found == this->members.end()) {
    return;
  }
  Health& health = found->second;
  health.failures = 0;
  if (health.probation) {
    health.probation = false;
    health.ejections = 0;
  }
}

void OutlierEjection::NoteLatency(const EndpointId& endpoint, double latency) {
  const auto found = this->members.find(endpoint);
  if (found == this->members.end()) {
    return;
  }
  Health& health = found->second;
  health.latency += health.samples == 0
                        ? latency - health.latency
                        : kLatencyWeight * (latency - health.latency);
  ++health.samples;
}

void OutlierEjection::NoteFailure(const EndpointId& endpoint, Instant now) {
  const auto found = this->members.find(endpoint);
  if (found == this->members.end()) {
    return;
  }
  Health& health = found->second;
  ++health.failures;
  if (health.probation || health.failures >= this->options.failures) {
    this->Eject(health, now);
  }
}

double OutlierEjection::MedianLatency() const {
  std::vector<double> latencies;
  for (const auto& [endpoint, health] : this->members) {
    if (health.samples >= this->options.min_samples) {
      latencies.push_back(health.latency);
    }
  }
  // With fewer than three latencies the outlier can't be identified.
  if (latencies.size() < 3) {
    return 0;
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

bool OutlierEjection::Sweep(Instant now) {
  const double median = this->MedianLatency();
  const std::size_t before = this->ejected;
  bool changed = false;
  for (auto& [endpoint, health] : this->members) {
    if (health.ejected && health.ejected_until <= now) {
      health.ejected = false;
      health.probation = true;
      health.failures = 0;
      --this->ejected;
      changed = true;
    } else if (median > 0 && health.samples >= this->options.min_samples &&
               health.latency > this->options.slow_factor * median) {
      this->Eject(health, now);
    }
  }
  return changed || this->ejected != before;
}

bool OutlierEjection::Ejected(const EndpointId& endpoint) const {
  const auto found = this->members.find(endpoint);
  return found != this->members.end() && found->second.ejected;
}

}  // namespace acacialug::retry
