#include "gateway/stream_placement.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "gateway/internal/candidates.h"

namespace acacialug::gateway {
namespace {

// Max random addition to a load; loads that differ by less count as equal.
// Several processes that place at the same time by the same reports must not
// all choose the same endpoint.
constexpr double kLoadSpread = 0.06;
// An endpoint that takes twice the expected time ranks like one whose fill is
// higher by this share of its free memory. If it were independent of that, the
// fast endpoints would run out of memory while others have some.
constexpr double kSlownessWeight = 0.3;

// A decode endpoint in another failure domain ranks like one whose fill is
// higher by this share, and a prefill endpoint there like one that starts later
// by this time. Less is known of such endpoints, since reports arrive more
// often from peers in the same domain, and transfers between domains take
// longer.
constexpr double kOtherDomainFill = 0.1;
constexpr Duration kOtherDomainWait = 50ms;

bool WasTried(const std::vector<EndpointId>& tried, const EndpointId& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

// What one software version computes may not fit another.
bool PrefillsFor(const EndpointRecord& endpoint, const EndpointRecord& decode) {
  return endpoint.role == EndpointRole::kPrefill &&
         endpoint.software_version == decode.software_version;
}

// The versions of the prefill endpoints, each once.
std::vector<std::string_view> PrefillVersions(
    const std::vector<const EndpointRecord*>& endpoints) {
  std::vector<std::string_view> versions;
  for (const EndpointRecord* const endpoint : endpoints) {
    if (endpoint->role == EndpointRole::kPrefill &&
        std::find(versions.begin(), versions.end(),
                  endpoint->software_version) == versions.end()) {
      versions.emplace_back(endpoint->software_version);
    }
  }
  return versions;
}

// Whether others of its service have prefill endpoints, and it has none.
bool LacksPrefill(const EndpointRecord& decode,
                  const std::vector<std::string_view>& prefill_versions) {
  return !prefill_versions.empty() &&
         std::find(prefill_versions.begin(), prefill_versions.end(),
                   decode.software_version) == prefill_versions.end();
}

// The tokens of the longest answer that is likely.
double LikelyTokens(const GenerationSize& size, double length_ratio) {
  return std::min(
      length_ratio * static_cast<double>(size.expected_output_tokens),
      static_cast<double>(
          std::max(size.max_output_tokens, size.expected_output_tokens)));
}

// The time that is left for the answer itself.
Duration AnswerTime(const StreamPlacement::Need& need,
                    const forecast::ServiceForecast& forecast) {
  return need.time_left - forecast.PrefillTime(need.size.prompt_tokens) -
         forecast.FirstEvent();
}

// For how many more requests of this size there is memory.
std::size_t CountPlaces(double free_tokens, double wanted) {
  return static_cast<std::size_t>(std::max(0.0, free_tokens) /
                                  std::max(1.0, wanted));
}

}  // namespace

StreamPlacement::StreamPlacement(Options placement_options,
                                 const LoadTable& table,
                                 const EndpointHealth& endpoint_health,
                                 const EndpointPaces& endpoint_paces)
    : options(placement_options),
      load_table(table),
      health(endpoint_health),
      paces(endpoint_paces) {}

Duration StreamPlacement::LikelyTime(
    const GenerationSize& size,
    double length_ratio,
    const forecast::ServiceForecast& forecast) {
  constexpr double kMsPerSecond = 1000;
  return forecast.PrefillTime(size.prompt_tokens) + forecast.FirstEvent() +
         FromSeconds(LikelyTokens(size, length_ratio) * forecast.TokenMs() /
                     kMsPerSecond);
}

std::uint64_t StreamPlacement::KvTokens(const GenerationSize& size,
                                        std::uint64_t generated_tokens) const {
  const auto expected = static_cast<std::uint64_t>(
      this->options.output_share *
      static_cast<double>(size.expected_output_tokens));
  return size.prompt_tokens +
         std::max(expected,
                  generated_tokens == 0
                      ? 0
                      : generated_tokens + this->options.growth_tokens);
}

const EndpointRecord* StreamPlacement::PickDecode(
    const Need& need,
    const EngineTraits& engine,
    const forecast::ServiceForecast& forecast,
    const std::vector<const EndpointRecord*>& endpoints,
    RandomSource& random) const {
  const double capacity = (need.low_priority ? this->options.low_priority_fill
                                             : this->options.fill) *
                          static_cast<double>(engine.kv_tokens);
  const auto wanted = static_cast<double>(this->KvTokens(need.size));
  Candidates candidates(need.domain);
  bool any_healthy = false;
  bool any_in_time = false;
  std::size_t places = 0;
  const Duration answer_time = AnswerTime(need, forecast);
  const double answer_ms =
      LikelyTokens(need.size, need.length_ratio) * forecast.TokenMs();
  const std::vector<std::string_view> prefill_versions =
      PrefillVersions(endpoints);
  for (const EndpointRecord* const endpoint : endpoints) {
    if (endpoint->role != EndpointRole::kDecode) {
      continue;
    }
    const EndpointLoad load = this->load_table.TotalAt(endpoint->id);
    const auto held = static_cast<double>(load.kv_tokens);
    candidates.NotePlaced(*endpoint, held / capacity);
    const double slowness = this->Slowness(*endpoint, need.now);
    const bool in_time = slowness * answer_ms <= 1000 * Seconds(answer_time);
    if (this->health.Paused(endpoint->id, need.now)) {
      continue;
    }
    const bool avoided = this->health.Avoided(endpoint->id, need.now);
    any_healthy = any_healthy || !avoided;
    any_in_time = any_in_time || (!avoided && in_time);
    const bool fits = held + wanted <= capacity && load.requests < engine.slots;
    if ((!fits && load.requests > 0) || WasTried(need.tried, endpoint->id) ||
        this->health.Full(endpoint->id, need.now)) {
      continue;
    }
    const bool delayed_by_prefill =
        load.prefill_tokens > 0 && need.longest_pause > Duration::zero() &&
        forecast.PromptPause(load.prefill_tokens) > need.longest_pause;
    places += avoided ? 0 : CountPlaces(capacity - held, wanted);
    const CandidateRank rank = avoided    ? CandidateRank::kAvoided
                               : !in_time ? CandidateRank::kTooSlow
                               : delayed_by_prefill
                                   ? CandidateRank::kPrefillBusy
                               : LacksPrefill(*endpoint, prefill_versions)
                                   ? CandidateRank::kWithoutPrefill
                                   : CandidateRank::kHealthy;
    candidates.Add(*endpoint, rank,
                   held / capacity + random.Unit() * kLoadSpread +
                       kSlownessWeight * (slowness - 1) *
                           std::max(0.0, 1 - held / capacity));
  }
  if (need.kept_places > 0 && places <= need.kept_places) {
    return nullptr;
  }
  const Duration hold =
      forecast.PrefillTime(need.size.prompt_tokens) + forecast.FirstEvent() +
      FromSeconds(static_cast<double>(need.size.expected_output_tokens) *
                  forecast.TokenMs() / 1000);
  const Candidates::Choice chosen = candidates.Choose(
      LoadStaleness::Measure(this->load_table, hold, need.now),
      kOtherDomainFill, random);
  // A dead endpoint looks empty. While others are healthy, waiting for a full
  // one is better than sending a request to this one. The same holds for one
  // whose answer would be cut off at its caller's deadline.
  const bool better_to_wait =
      (any_healthy && chosen.rank == CandidateRank::kAvoided) ||
      (any_in_time && chosen.rank == CandidateRank::kTooSlow);
  return better_to_wait ? nullptr : chosen.endpoint;
}

Duration StreamPlacement::UsualPrefillTime(
    const EndpointRecord& endpoint,
    const forecast::ServiceForecast& forecast,
    std::uint64_t prompt_tokens) const {
  const EndpointLoad load = this->load_table.TotalAt(endpoint.id);
  return forecast.MarginalPrefillTime(load.prefill_tokens) +
         forecast.PrefillTime(prompt_tokens);
}

double StreamPlacement::Slowness(const EndpointRecord& endpoint,
                                 Instant now) const {
  return this->paces.RatioOf(LoadTable::KeyOf(endpoint.id), now)
      .value_or(this->health.Slowness(endpoint.id));
}

Duration StreamPlacement::PrefillTime(const EndpointRecord& endpoint,
                                      const forecast::ServiceForecast& forecast,
                                      std::uint64_t prompt_tokens,
                                      Instant now) const {
  return FromSeconds(
      Seconds(this->UsualPrefillTime(endpoint, forecast, prompt_tokens)) *
      this->Slowness(endpoint, now));
}

Duration StreamPlacement::MaxPrefillWait(
    double decode_fill,
    const Need& need,
    const forecast::ServiceForecast& forecast) const {
  const double free = std::clamp(1 - decode_fill, 0.0, 1.0);
  const double wait_share = this->options.prefill_wait_share +
                            free * (this->options.free_prefill_wait_share -
                                    this->options.prefill_wait_share);
  const Duration max_wait = FromSeconds(wait_share * Seconds(need.objective));
  // A request that can no longer be in time may wait as long as others: it has
  // already been served after them because of its rank.
  if (need.low_priority) {
    return max_wait;
  }
  return std::min(max_wait,
                  need.objective - need.waited - forecast.FirstEvent());
}

// A prompt is computed in chunks between the steps of the endpoint's other
// streams. With engines that compute prompts slowly, this delays each of these
// streams for longer than its caller allows, and one request makes all of them
// late.
bool StreamPlacement::MayPrefillLocally(
    const Placement& placement,
    const Need& need,
    const forecast::ServiceForecast& forecast) const {
  if (placement.decode_fill > this->options.local_prefill_fill) {
    return false;
  }
  if (forecast.LocalPrefillTime(need.size.prompt_tokens) >
      placement.prefill_time) {
    return false;
  }
  return this->load_table.TotalAt(placement.decode.id).requests == 0 ||
         need.longest_pause == Duration::zero() ||
         forecast.PromptPause(need.size.prompt_tokens) <= need.longest_pause;
}

const EndpointRecord* StreamPlacement::PickPrefill(
    const Need& need,
    const EndpointRecord& decode,
    const forecast::ServiceForecast& forecast,
    const std::vector<const EndpointRecord*>& endpoints,
    RandomSource& random) const {
  Candidates candidates(decode.domain);
  for (const EndpointRecord* const endpoint : endpoints) {
    if (!PrefillsFor(*endpoint, decode)) {
      continue;
    }
    candidates.NotePlaced(
        *endpoint, Seconds(forecast.MarginalPrefillTime(
                       this->load_table.TotalAt(endpoint->id).prefill_tokens)));
    if (WasTried(need.tried, endpoint->id) ||
        this->health.Paused(endpoint->id, need.now)) {
      continue;
    }
    candidates.Add(
        *endpoint,
        this->health.Avoided(endpoint->id, need.now) ? CandidateRank::kAvoided
                                                     : CandidateRank::kHealthy,
        Seconds(this->PrefillTime(*endpoint, forecast, need.size.prompt_tokens,
                                  need.now)) *
            (1 + random.Unit() * kLoadSpread) *
            (1 + 2 * this->health.FailureShare(endpoint->id)));
  }
  const Duration hold = forecast.PrefillTime(need.size.prompt_tokens);
  return candidates
      .Choose(LoadStaleness::Measure(this->load_table, hold, need.now),
              Seconds(kOtherDomainWait), random)
      .endpoint;
}

std::optional<StreamPlacement::Placement> StreamPlacement::Pick(
    const Need& need,
    const EngineTraits& engine,
    const forecast::ServiceForecast& forecast,
    const std::vector<const EndpointRecord*>& endpoints,
    RandomSource& random) const {
  const EndpointRecord* const decode =
      this->PickDecode(need, engine, forecast, endpoints, random);
  if (decode == nullptr) {
    return std::nullopt;
  }
  Placement placement{
      .decode = *decode,
      .decode_load = {.requests = 1,
                      .kv_tokens = this->KvTokens(need.size),
                      .prefill_tokens = need.size.prompt_tokens}};
  placement.decode_fill =
      static_cast<double>(this->load_table.TotalAt(decode->id).kv_tokens) /
      static_cast<double>(std::max<std::uint64_t>(engine.kv_tokens, 1));
  const EndpointRecord* const prefill =
      this->PickPrefill(need, *decode, forecast, endpoints, random);
  if (prefill == nullptr || this->health.Avoided(prefill->id, need.now)) {
    return placement;
  }
  placement.prefill_time =
      this->PrefillTime(*prefill, forecast, need.size.prompt_tokens, need.now);
  placement.usual_prefill_time =
      this->UsualPrefillTime(*prefill, forecast, need.size.prompt_tokens);
  const auto longer_than = [&](double fill) {
    return placement.prefill_time > this->MaxPrefillWait(fill, need, forecast);
  };
  placement.prefill_ahead =
      this->load_table.TotalAt(prefill->id).prefill_tokens;
  if (longer_than(1.0) && this->MayPrefillLocally(placement, need, forecast)) {
    return placement;
  }
  // A prompt that is late even at an idle endpoint is late at any of them.
  if (longer_than(placement.decode_fill) && placement.prefill_ahead > 0) {
    return std::nullopt;
  }
  placement.decode_load.prefill_tokens = 0;
  placement.prefill = *prefill;
  placement.prefill_load = {.requests = 1,
                            .prefill_tokens = need.size.prompt_tokens};
  return placement;
}

double StreamPlacement::PoolFill(
    const EngineTraits& engine,
    const std::vector<const EndpointRecord*>& endpoints) const {
  double held = 0;
  double capacity = 0;
  for (const EndpointRecord* const endpoint : endpoints) {
    if (endpoint->role == EndpointRole::kDecode) {
      held +=
          static_cast<double>(this->load_table.TotalAt(endpoint->id).kv_tokens);
      capacity += static_cast<double>(engine.kv_tokens);
    }
  }
  return capacity > 0 ? held / capacity : 1.0;
}

}  // namespace acacialug::gateway
