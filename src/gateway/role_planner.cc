#include "gateway/role_planner.h"

#include <algorithm>
#include <cmath>

namespace acacialug::gateway {
namespace {

// Requests that the means stand for, once there are many.
constexpr std::uint32_t kMaxCounted = 50;
// The same of the newest look at what is in use; they are half a second apart.
constexpr double kNewestWeight = 0.25;
// Below this number of endpoints one prefill endpoint must do; above, the loss
// of one must leave another.
constexpr std::size_t kSpareFrom = 6;

// Up to this part of their capacity is left to endpoints that stay.
constexpr double kWellUsed = 0.7;

// How much of an endpoint is in use, 0 to 1.
double Used(const EndpointRecord& endpoint,
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

// Endpoints that the others of the same role can do without now.
std::size_t Spare(const std::vector<const EndpointRecord*>& endpoints,
                  const EngineTraits& engine,
                  const LoadTable& load_table) {
  double used = 0;
  for (const EndpointRecord* const endpoint : endpoints) {
    used += Used(*endpoint, engine, load_table);
  }
  const auto needed = static_cast<std::size_t>(std::ceil(used / kWellUsed));
  return endpoints.size() - std::min(endpoints.size(), needed);
}

// The part of the prefill endpoints that is in use.
double PrefillUse(const std::vector<const EndpointRecord*>& endpoints,
                  const EngineTraits& engine,
                  const LoadTable& load_table) {
  double used = 0;
  double all = 0;
  for (const EndpointRecord* const endpoint : endpoints) {
    if (endpoint->role == EndpointRole::kPrefill) {
      used += Used(*endpoint, engine, load_table);
      all += 1;
    }
  }
  return all == 0 ? 1 : used / all;
}

double Blend(double mean, double value, double weight) {
  return mean + (value - mean) * weight;
}

}  // namespace

void RolePlanner::NoteRequest(const GenerationSize& size) {
  this->own.requests = std::min(this->own.requests + 1, kMaxCounted);
  const double weight = 1.0 / this->own.requests;
  this->own.prompt_tokens = Blend(
      this->own.prompt_tokens, static_cast<double>(size.prompt_tokens), weight);
  this->own.output_tokens =
      Blend(this->own.output_tokens,
            static_cast<double>(size.expected_output_tokens), weight);
}

void RolePlanner::NotePeer(const std::string& peer,
                           const forecast::RequestSizes& sizes,
                           Instant now) {
  this->peers[peer] = {.sizes = sizes, .at = now};
}

forecast::RequestSizes RolePlanner::Sizes() const {
  forecast::RequestSizes all = this->own;
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
  // A place is held from the reservation on, while its prompt is computed.
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
  const std::size_t fewest = endpoints >= kSpareFrom ? 2 : 1;
  const double most =
      this->PrefillShare(engine, forecast, this->options.prefill_headroom);
  const double least =
      this->PrefillShare(engine, forecast, this->options.min_headroom);
  return {.share = most,
          .min = std::max(fewest,
                          static_cast<std::size_t>(std::floor(least * count))),
          .max = std::max(fewest,
                          static_cast<std::size_t>(std::ceil(most * count)))};
}

std::size_t RolePlanner::AtOnce(const std::vector<const EndpointRecord*>& from,
                                std::size_t endpoints,
                                const EngineTraits& engine,
                                const LoadTable& load_table) const {
  const auto share = static_cast<std::size_t>(this->options.share_at_once *
                                              static_cast<double>(endpoints));
  const std::size_t spare =
      this->Sizes().requests < this->options.min_requests_for_spare
          ? 0
          : Spare(from, engine, load_table);
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
  const Bounds bounds = this->PrefillBounds(engine, forecast, endpoints.size());
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
  const std::size_t difference =
      too_many ? prefill.size() - bounds.max : bounds.max - prefill.size();
  const std::size_t at_once =
      this->AtOnce(from, endpoints.size(), engine, load_table);
  // The least busy ones: what runs there goes on to its end first.
  std::sort(
      from.begin(), from.end(),
      [&load_table](const EndpointRecord* left, const EndpointRecord* right) {
        return load_table.TotalAt(left->id).requests <
               load_table.TotalAt(right->id).requests;
      });
  from.resize(std::min({from.size() - 1, difference, at_once}));
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
