#ifndef GATEWAY_STREAM_PLACEMENT_H_
#define GATEWAY_STREAM_PLACEMENT_H_

#include <optional>
#include <vector>

#include "forecast/service_forecast.h"
#include "framework/global/random_source.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/load_table.h"
#include "gateway/types/configuration.h"
#include "gateway/types/work_request.h"

namespace acacialug::gateway {

// Chooses where a generation is prefilled and decoded, both at once: a prompt
// is computed only when there is room for what follows, since its result lives
// for half a second.
//
// Load pattern: bursts to twice the mean for some seconds, in which decode
// memory is what runs out. An endpoint that is given more than it holds
// preempts a running stream and computes its prompt again, so that both are
// late; one that is given less turns callers away for nothing.
class StreamPlacement {
 public:
  struct Options {
    // Share of a decode endpoint's memory that is given out. Streams that run
    // together are at different points of their output, so that the sum of
    // their final sizes is never reached.
    double fill = 1.0;
    // Share of the expected output that is counted as taken: the mean over a
    // stream's life is half of it, and estimates are off by half. More spares
    // preempted streams, and leaves memory idle.
    double output_share = 0.6;
    // Up to this share of an endpoint's memory is given to those who yield, the
    // rest is kept for who can still be in time. Without it those who were
    // refused in a burst come back after it and take the places of first tries,
    // which come back in their turn: the pool stays overloaded for the length
    // of the burst again.
    double low_priority_fill = 0.85;
    // Tokens that a stream makes until others have heard of it and placed by
    // it.
    std::uint64_t growth = 300;
    // The longest time at a prefill endpoint that is worth it, as a share of
    // the route's objective, where decode memory is short: it is held meanwhile
    // and serves nobody.
    double prefill_wait_share = 0.5;
    // And where it is free: the rest is what expectations are off by. Load
    // pattern: all callers come back within a third of a second after all
    // processes had restarted, and prompts queue while three quarters of the
    // decode memory are free.
    double free_prefill_wait_share = 0.8;
    // Up to this share of its memory taken, a decode endpoint computes a prompt
    // itself rather than have it wait longer: that slows its other streams,
    // which an endpoint with few of them can afford.
    double local_prefill_fill = 0.7;
  };

  struct Need {
    GenerationSize size;
    Duration objective{};      // to the first event, from `waited` ago
    Duration longest_pause{};  // between two events; zero: none is stated
    Duration waited{};
    std::vector<EndpointId> tried;  // not again
    bool low_priority = false;      // takes only what others do not need
    FailureDomain domain;           // of this process
    Instant now;
  };

  struct Placement {
    EndpointRecord decode;
    std::optional<EndpointRecord> prefill;  // empty: decode computes the prompt
    EndpointLoad decode_load;
    EndpointLoad prefill_load;
    Duration prefill_time{};          // expected, with what is queued there
    std::uint64_t prefill_ahead = 0;  // tokens queued there before this one's
    double decode_fill = 0;           // of its memory, before this request
  };

  StreamPlacement(Options placement_options,
                  const LoadTable& table,
                  const EndpointHealth& endpoint_health);

  // Empty: no endpoint has room now. `endpoints`: of the service, taking work.
  std::optional<Placement> Pick(
      const Need& need,
      const EngineTraits& engine,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;

  // Memory that a request is counted with, once it has made so many tokens.
  std::uint64_t KvTokens(const GenerationSize& size,
                         std::uint64_t made = 0) const;

  // Share of the pool's decode memory that is given out, 0 to 1 and above.
  double PoolFill(const EngineTraits& engine,
                  const std::vector<const EndpointRecord*>& endpoints) const;

 private:
  const EndpointRecord* PickDecode(
      const Need& need,
      const EngineTraits& engine,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;
  // `domain`: where its result goes.
  const EndpointRecord* PickPrefill(
      const Need& need,
      const FailureDomain& domain,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;
  Duration PrefillTime(const EndpointRecord& endpoint,
                       const forecast::ServiceForecast& forecast,
                       std::uint64_t prompt_tokens) const;
  Duration MaxPrefillWait(double decode_fill,
                          const Need& need,
                          const forecast::ServiceForecast& forecast) const;
  bool MayPrefillLocally(const Placement& placement,
                         const Need& need,
                         const forecast::ServiceForecast& forecast) const;

  const Options options;
  const LoadTable& load_table;
  const EndpointHealth& health;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_STREAM_PLACEMENT_H_
