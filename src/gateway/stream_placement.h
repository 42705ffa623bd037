#ifndef GATEWAY_STREAM_PLACEMENT_H_
#define GATEWAY_STREAM_PLACEMENT_H_

#include <optional>
#include <vector>

#include "forecast/service_forecast.h"
#include "framework/global/random_source.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/endpoint_paces.h"
#include "gateway/load_table.h"
#include "gateway/types/configuration.h"
#include "gateway/types/work_request.h"

namespace acacialug::gateway {

// Chooses the endpoints that prefill and decode a generation, both at the same
// time: a prompt is computed only if there is decode capacity for it, since its
// result is kept for 0.5 s.
//
// Load pattern: bursts to twice the mean for some seconds, in which decode
// memory runs out. An endpoint that gets more work than it has memory for
// preempts a running stream and computes its prompt again, so that both streams
// are late. With less work than memory, callers are refused without need.
class StreamPlacement {
 public:
  struct Options {
    // Share of a decode endpoint's memory that is allocated. Streams that run
    // together are at different points of their output, so that the sum of
    // their final sizes is never reached.
    double fill = 1.0;
    // Share of the expected output that is counted as allocated. The mean over
    // a stream's duration is half of it, and estimates are off by half. A
    // larger share avoids preempted streams, and leaves memory idle.
    double output_share = 0.6;
    // Max share of an endpoint's memory for requests of low priority; the rest
    // is kept for requests that can still be in time. Otherwise the callers
    // that were refused in a burst retry after it and take the capacity of
    // first tries, which are then retried themselves: the pool stays overloaded
    // for the length of another burst.
    double low_priority_fill = 0.85;
    // Tokens that a stream generates until peers have received a report of it
    // and placed work by it.
    std::uint64_t growth_tokens = 300;
    // Max useful time at a prefill endpoint, as a share of the route's
    // objective, while decode memory is short: the memory is held meanwhile and
    // serves no request.
    double prefill_wait_share = 0.5;
    // The same while decode memory is free; the rest covers the error of the
    // expected times. Load pattern: all callers retry within a third of a
    // second after a restart of all processes, and prompts are queued while
    // three quarters of the decode memory are free.
    double free_prefill_wait_share = 0.8;
    // Max share of its memory in use at which a decode endpoint computes a
    // prompt itself if the prompt would wait longer elsewhere. This slows its
    // other streams, which is acceptable while there are few.
    double local_prefill_fill = 0.7;
  };

  struct Need {
    GenerationSize size;
    Duration objective{};      // to the first event, started `waited` ago
    Duration longest_pause{};  // between two events; zero: no limit is set
    Duration waited{};
    std::vector<EndpointId> tried;  // excluded
    bool low_priority = false;      // limited to `low_priority_fill`
    // Places of the pool that are kept for others (UrgencyReserve).
    std::size_t kept_places = 0;
    // Until the caller's deadline, and the factor by which an answer may be
    // longer than its caller's estimate.
    Duration time_left = kNever - Instant{};
    double length_ratio = 1;
    FailureDomain domain;  // of this process
    Instant now;
  };

  struct Placement {
    EndpointRecord decode;
    std::optional<EndpointRecord> prefill;  // empty: decode computes the prompt
    EndpointLoad decode_load;
    EndpointLoad prefill_load;
    Duration prefill_time{};          // expected, including the queue
    Duration usual_prefill_time{};    // at an endpoint of usual speed
    std::uint64_t prefill_ahead = 0;  // tokens in that queue
    double decode_fill = 0;           // of its memory, before this request
  };

  // The time that a generation of this size takes at most, as a rule, from its
  // placement to its end; `length_ratio` as in Need. Thread safe.
  static Duration LikelyTime(const GenerationSize& size,
                             double length_ratio,
                             const forecast::ServiceForecast& forecast);

  StreamPlacement(Options placement_options,
                  const LoadTable& table,
                  const EndpointHealth& endpoint_health,
                  const EndpointPaces& endpoint_paces);

  // Returns empty if no endpoint has capacity now. `endpoints`: those of the
  // service that take work.
  std::optional<Placement> Pick(
      const Need& need,
      const EngineTraits& engine,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;

  // Memory that is counted for a request after it has generated
  // `generated_tokens`.
  std::uint64_t KvTokens(const GenerationSize& size,
                         std::uint64_t generated_tokens = 0) const;

  // Share of the pool's decode memory that is allocated; it may exceed 1.
  double PoolFill(const EngineTraits& engine,
                  const std::vector<const EndpointRecord*>& endpoints) const;

 private:
  const EndpointRecord* PickDecode(
      const Need& need,
      const EngineTraits& engine,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;
  // An endpoint that prefills for `decode`.
  const EndpointRecord* PickPrefill(
      const Need& need,
      const EndpointRecord& decode,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      RandomSource& random) const;
  // By how much longer than usual the endpoint takes.
  double Slowness(const EndpointRecord& endpoint, Instant now) const;
  // Includes the prompts that are queued there.
  Duration UsualPrefillTime(const EndpointRecord& endpoint,
                            const forecast::ServiceForecast& forecast,
                            std::uint64_t prompt_tokens) const;
  // The same at this endpoint's speed.
  Duration PrefillTime(const EndpointRecord& endpoint,
                       const forecast::ServiceForecast& forecast,
                       std::uint64_t prompt_tokens,
                       Instant now) const;
  Duration MaxPrefillWait(double decode_fill,
                          const Need& need,
                          const forecast::ServiceForecast& forecast) const;
  bool MayPrefillLocally(const Placement& placement,
                         const Need& need,
                         const forecast::ServiceForecast& forecast) const;

  const Options options;
  const LoadTable& load_table;
  const EndpointHealth& health;
  const EndpointPaces& paces;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_STREAM_PLACEMENT_H_
