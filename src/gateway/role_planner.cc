#include "gateway/role_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace acacialug::gateway {
namespace {

// Max number of requests that the means are weighted as.
constexpr std::uint32_t kMaxCountedRequests = 50;
// Weight of the newest sample of the prefill use. Samples are 0.5 s apart.
constexpr double kNewestWeight = 0.25;
// From this number of endpoints on, the loss of a prefill endpoint must leave
// another. With fewer endpoints, one prefill endpoint must suffice.
constexpr std::size_t kMinEndpointsForSecondPrefill = 6;

// Max utilization to which the endpoints that keep their role may be loaded.
constexpr double kMaxRemainingUse = 0.7;

// The share of an endpoint that is in use, from 0 to 1.
double Utilization(const EndpointRecord& endpoint,
                   const EngineTraits& engine,
                   const LoadTable& load_table) {
  const EndpointLoad load = load_table.TotalAt(endpoint.id);
  if (endpoint.role == EndpointRole::kPrefill) {
    return load.prefill_tokens > 0 ? 1 : 0;
  }
  return std::max(
      static_cast<double>(load.kv_tokens) /
          static_cast<double>(std::max<std::uint64_t>(engine.kv_tokens, 1)),
      static_cast<double>(load.requests) /
          std::max<std::uint32_t>(engine.slots, 1));
}

// Number of endpoints that the others of the same role don't need now.
std::size_t CountSpare(const std::vector<const EndpointRecord*>& endpoints,
                       const EngineTraits& engine,
                       const LoadTable& load_table) {
  double used = 0;
  for (const EndpointRecord* const endpoint : endpoints) {
    used += Utilization(*endpoint, engine, load_table);
  }
  const auto needed =
      static_cast<std::size_t>(std::ceil(used / kMaxRemainingUse));
  return endpoints.size() - std::min(endpoints.size(), needed);
}

// The share of the prefill endpoints that is in use.
double PrefillUse(const std::vector<const EndpointRecord*>& endpoints,
                  const EngineTraits& engine,
                  const LoadTable& load_table) {
  double used = 0;
  double all = 0;
  for (const EndpointRecord* const endpoint : endpoints) {
    if (endpoint->role == EndpointRole::kPrefill) {
      used += Utilization(*endpoint, engine, load_table);
      all += 1;
    }
  }
  return all == 0 ? 1 : used / all;
}

// Removes the last decode endpoint of each software version: streams that it
// began can go on nowhere else.
void KeepOneOfEachVersion(std::vector<const EndpointRecord*>& decode) {
  std::map<std::string_view, std::size_t> left;
  for (const EndpointRecord* const endpoint : decode) {
    ++left[endpoint->software_version];
  }
  std::erase_if(decode, [&left](const EndpointRecord* endpoint) {
    return left[endpoint->software_version]-- == 1;
  });
}

double Blend(double mean, double value, double weight) {
  return mean + (value - mean) * weight;
}

}  // namespace

void RolePlanner::NoteRequest(const GenerationSize& size) {
  this->own_requests.requests =
      std::min(this->own_requests.requests + 1, kMaxCountedRequests);
  const double weight = 1.0 / this->own_requests.requests;
  this->own_requests.prompt_tokens =
      Blend(this->own_requests.prompt_tokens,
            static_cast<double>(size.prompt_tokens), weight);
  this->own_requests.output_tokens =
      Blend(this->own_requests.output_tokens,
            static_cast<double>(size.expected_output_tokens), weight);
}

void RolePlanner::NotePeer(const std::string& peer,
                           const forecast::RequestSizes& sizes,
                           Instant now) {
  this->peers[peer] = {.sizes = sizes, .at = now};
}

forecast::RequestSizes RolePlanner::Sizes() const {
  forecast::RequestSizes all = this->own_requests;
  for (const auto& [peer, reported] : this->peers) {
    const forecast::RequestSizes& more = reported.sizes;
    all.requests += more.requests;
    const double weight = static_cast<double>(more.requests) /
                          std::max<std::uint32_t>(all.requests, 1);
    all.prompt_tokens = Blend(all.prompt_tokens, more.prompt_tokens, weight);
    all.output_tokens = Blend(all.output_tokens, more.output_tokens, weight);
  }
  return all;
}

double RolePlanner::PrefillShare(const EngineTraits& engine,
                                 const forecast::ServiceForecast& forecast,
                                 double headroom) const {
  const forecast::RequestSizes sizes = this->Sizes();
  if (sizes.requests < this->options.min_requests || engine.kv_tokens == 0) {
    return 0;
  }
  const auto prompt = static_cast<std::uint64_t>(sizes.prompt_tokens);
  const double prefill_ms =
      1000.0 * Seconds(forecast.MarginalPrefillTime(prompt)) * headroom;
  // A slot is held from the reservation on, while its prompt is computed.
  const double held_ms =
      1000.0 * Seconds(forecast.PrefillTime(prompt) + forecast.FirstEvent()) +
      sizes.output_tokens * forecast.TokenMs();
  const double held_tokens = sizes.prompt_tokens + sizes.output_tokens / 2;
  const double share_held =
      std::max(held_tokens / static_cast<double>(engine.kv_tokens),
               1.0 / std::max<std::uint32_t>(engine.slots, 1));
  const double decode_ms = held_ms * share_held;
  return prefill_ms / (prefill_ms + decode_ms);
}

RolePlanner::Bounds RolePlanner::PrefillBounds(
    const EngineTraits& engine,
    const forecast::ServiceForecast& forecast,
    std::size_t endpoints) const {
  const auto count = static_cast<double>(endpoints);
  const std::size_t min_prefill =
      endpoints >= kMinEndpointsForSecondPrefill ? 2 : 1;
  const double max_share =
      this->PrefillShare(engine, forecast, this->options.prefill_headroom);
  const double min_share =
      this->PrefillShare(engine, forecast, this->options.min_headroom);
  return {
      .share = max_share,
      .min = std::max(min_prefill,
                      static_cast<std::size_t>(std::floor(min_share * count))),
      .max = std::max(min_prefill,
                      static_cast<std::size_t>(std::ceil(max_share * count)))};
}

Duration RolePlanner::LastingTime(const EngineTraits& engine) const {
  return FromSeconds(this->options.lasting_switches *
                     Seconds(engine.role_switch + this->options.record_delay));
}

void RolePlanner::NoteNeed(const EngineTraits& engine,
                           const forecast::ServiceForecast& forecast,
                           std::size_t endpoints,
                           Instant now) {
  const Bounds bounds = this->PrefillBounds(engine, forecast, endpoints);
  if (bounds.share == 0) {
    return;
  }
  this->needs.push_back({.at = now, .bounds = bounds});
  // One record that is older shows that the others cover the time.
  while (this->needs.size() > 1 &&
         now - this->needs[1].at >= this->LastingTime(engine)) {
    this->needs.pop_front();
  }
}

RolePlanner::Bounds RolePlanner::LastingBounds(const Bounds& present,
                                               const EngineTraits& engine,
                                               Instant now) const {
  Bounds lasting = present;
  lasting.least_max = present.max;
  if (this->needs.empty()) {
    return lasting;
  }
  // A process that has just started corrects a wrong split at once, as long as
  // that adds memory.
  if (now - this->needs.front().at < this->LastingTime(engine)) {
    lasting.min = 0;
    return lasting;
  }
  for (const Need& need : this->needs) {
    lasting.min = std::min(lasting.min, need.bounds.min);
    lasting.max = std::max(lasting.max, need.bounds.max);
    lasting.least_max = std::min(lasting.least_max, need.bounds.max);
  }
  return lasting;
}

std::size_t RolePlanner::MaxSwitchesAtOnce(
    const std::vector<const EndpointRecord*>& from,
    std::size_t endpoints,
    const EngineTraits& engine,
    const LoadTable& load_table) const {
  const auto share = static_cast<std::size_t>(
      this->options.max_switching_share * static_cast<double>(endpoints));
  const std::size_t spare =
      this->Sizes().requests < this->options.min_requests_for_spare
          ? 0
          : CountSpare(from, engine, load_table);
  return std::max<std::size_t>({1, share, spare});
}

std::vector<RoleChange> RolePlanner::Plan(
    const EngineTraits& engine,
    const forecast::ServiceForecast& forecast,
    const std::vector<const EndpointRecord*>& endpoints,
    const LoadTable& load_table,
    Instant now) {
  std::erase_if(this->switching,
                [now](const auto& entry) { return entry.second.until <= now; });
  const Bounds bounds = this->LastingBounds(
      this->PrefillBounds(engine, forecast, endpoints.size()), engine, now);
  if (bounds.share == 0 || !this->switching.empty() || endpoints.size() < 2) {
    return {};
  }
  std::vector<const EndpointRecord*> prefill;
  std::vector<const EndpointRecord*> decode;
  for (const EndpointRecord* const endpoint : endpoints) {
    (endpoint->role == EndpointRole::kPrefill ? prefill : decode)
        .push_back(endpoint);
  }
  const bool too_many = prefill.size() > bounds.max;
  const bool too_few = prefill.size() < bounds.min &&
                       this->prefill_use >= this->options.min_prefill_use;
  if (!too_many && !too_few) {
    return {};
  }
  std::vector<const EndpointRecord*>& from = too_many ? prefill : decode;
  const std::size_t difference = too_many ? prefill.size() - bounds.max
                                          : bounds.least_max - prefill.size();
  const std::size_t at_once =
      this->MaxSwitchesAtOnce(from, endpoints.size(), engine, load_table);
  // The least busy endpoints switch: their running work ends first.
  std::sort(
      from.begin(), from.end(),
      [&load_table](const EndpointRecord* left, const EndpointRecord* right) {
        return load_table.TotalAt(left->id).requests <
               load_table.TotalAt(right->id).requests;
      });
  const std::size_t most = std::min({from.size() - 1, difference, at_once});
  if (!too_many) {
    KeepOneOfEachVersion(from);
  }
  from.resize(std::min(from.size(), most));
  std::vector<RoleChange> changes;
  changes.reserve(from.size());
  for (const EndpointRecord* const endpoint : from) {
    changes.push_back(
        {.endpoint = *endpoint,
         .role = too_many ? EndpointRole::kDecode : EndpointRole::kPrefill,
         .share = bounds.share});
  }
  return changes;
}

void RolePlanner::NoteOrdered(const RoleChange& change,
                              const EngineTraits& engine,
                              Instant now) {
  this->switching[change.endpoint.id] = {
      .role = change.role,
      .until = now + engine.role_switch + this->options.record_delay};
}

void RolePlanner::Watch(const EngineTraits& engine,
                        const std::vector<const EndpointRecord*>& endpoints,
                        const LoadTable& load_table,
                        Instant now) {
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return now - entry.second.at >= this->options.peer_memory;
  });
  this->prefill_use =
      Blend(this->prefill_use, PrefillUse(endpoints, engine, load_table),
            kNewestWeight);
  for (const EndpointRecord* const endpoint : endpoints) {
    const auto found = this->switching.find(endpoint->id);
    if (found == this->switching.end()) {
      continue;
    }
    if (endpoint->role == found->second.role) {
      this->switching.erase(found);
    } else if (load_table.TotalAt(endpoint->id).requests > 0) {
      found->second.until =
          now + engine.role_switch + this->options.record_delay;
    }
  }
}

std::vector<EndpointPause> RolePlanner::Pauses(Instant now) const {
  std::vector<EndpointPause> pauses;
  for (const auto& [endpoint, change] : this->switching) {
    if (change.until > now) {
      pauses.push_back({.endpoint_key = LoadTable::KeyOf(endpoint),
                        .left = change.until - now});
    }
  }
  return pauses;
}

}  // namespace acacialug::gateway
