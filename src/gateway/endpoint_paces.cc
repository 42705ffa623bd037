#include "gateway/endpoint_paces.h"

#include <algorithm>
#include <cmath>

namespace acacialug::gateway {
namespace {

// Bounds of a ratio; the least has the first step of a report.
constexpr double kMinRatio = 1.0 / 64;
constexpr double kMaxRatio = 64;
constexpr double kStepsOfTwo = 16;
// One observation counts as at most this many times the known ratio, so that
// an endpoint that stalls once is not slow.
constexpr double kMaxFactor = 3;

}  // namespace

void EndpointPaces::Blend(double& mean, double observed) {
  mean += kNewestWeight * (std::min(observed, kMaxFactor * mean) - mean);
}

bool EndpointPaces::IsReported(const Own& seen, Instant now) {
  return now - seen.at < kReportedTime;
}

void EndpointPaces::Learn(std::uint64_t endpoint_key,
                          double ratio,
                          Instant now) {
  State& state = this->states[endpoint_key];
  if (state.observations == 0 || now - state.at >= kMemory) {
    state.ratio = ratio;
    state.observations = 1;
  } else {
    Blend(state.ratio, ratio);
    state.observations = std::min(state.observations + 1, kMinObservations);
  }
  state.at = now;
}

void EndpointPaces::Note(std::uint64_t endpoint_key,
                         double ratio,
                         Instant now) {
  if (!std::isfinite(ratio) || ratio <= 0) {
    return;
  }
  const double bounded = std::clamp(ratio, kMinRatio, kMaxRatio);
  const auto [own, first] = this->owns.try_emplace(endpoint_key);
  if (first || !IsReported(own->second, now)) {
    own->second.ratio = bounded;
  } else {
    Blend(own->second.ratio, bounded);
  }
  own->second.at = now;
  this->Learn(endpoint_key, bounded, now);
}

std::uint8_t EndpointPaces::Report(std::uint64_t endpoint_key,
                                   Instant now) const {
  const auto found = this->owns.find(endpoint_key);
  if (found == this->owns.end() || !IsReported(found->second, now)) {
    return 0;
  }
  const double steps =
      1 + std::round(kStepsOfTwo * std::log2(found->second.ratio / kMinRatio));
  return static_cast<std::uint8_t>(
      std::clamp(steps, 1.0, static_cast<double>(UINT8_MAX)));
}

void EndpointPaces::NotePeer(std::uint64_t endpoint_key,
                             std::uint8_t report,
                             Instant now) {
  if (report > 0) {
    this->Learn(endpoint_key, kMinRatio * std::exp2((report - 1) / kStepsOfTwo),
                now);
  }
}

std::vector<std::uint64_t> EndpointPaces::Reported(Instant now) const {
  std::vector<std::uint64_t> keys;
  for (const auto& [key, seen] : this->owns) {
    if (IsReported(seen, now)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<double> EndpointPaces::RatioOf(std::uint64_t endpoint_key,
                                             Instant now) const {
  const auto found = this->states.find(endpoint_key);
  const bool known = found != this->states.end() &&
                     found->second.observations >= kMinObservations &&
                     now - found->second.at < kMemory;
  return known ? std::optional(found->second.ratio) : std::nullopt;
}

void EndpointPaces::Forget(std::uint64_t endpoint_key) {
  this->states.erase(endpoint_key);
  this->owns.erase(endpoint_key);
}

void EndpointPaces::Sweep(Instant now) {
  std::erase_if(this->states, [now](const auto& entry) {
    return now - entry.second.at >= kMemory;
  });
  std::erase_if(this->owns, [now](const auto& entry) {
    return !IsReported(entry.second, now);
  });
}

}  // namespace acacialug::gateway
