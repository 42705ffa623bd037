#ifndef GATEWAY_ROLE_PLANNER_H_
#define GATEWAY_ROLE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "forecast/service_forecast.h"
#include "forecast/types/request_sizes.h"
#include "framework/global/types/instant.h"
#include "gateway/load_table.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/work_request.h"

namespace acacialug::gateway {

struct RoleChange {
  EndpointRecord endpoint;
  EndpointRole role = EndpointRole::kDecode;
  double share = 0;  // target share of prefill endpoints
};

// Decides how many endpoints of a service prefill and how many decode, from the
// sizes of its requests.
//
// Load pattern: bursts to twice the mean, of requests whose prompts are
// computed in 0.1 s and whose answers hold memory for some seconds. Decode
// memory runs out first; prefill endpoints beyond those that a burst needs are
// idle. The shares follow from two times for which a request uses an endpoint:
// the time to compute its prompt, and the time for which it holds its share of
// the memory. A switch takes an endpoint out of service for some seconds. So
// there is no switch for a change within the rounding, and none from decode to
// prefill while the prefill endpoints are not busy: the first requests may
// differ from the rest. Not thread safe.
class RolePlanner {
 public:
  struct Options {
    // Factor on the prefill time for the max number of prefill endpoints, which
    // is rounded up. There is no extra, since a prefill endpoint holds no
    // answers.
    double prefill_headroom = 1.0;
    // The same for the min number, which is rounded down. With fewer, the
    // prefill endpoints delay the answers.
    double min_headroom = 0.75;
    // Min number of requests with known sizes, from this process or its peers,
    // before any switch.
    std::uint32_t min_requests = 12;
    // Time for which a peer's report counts.
    Duration peer_memory = 10s;
    // Max share of the endpoints that switch at the same time. One endpoint may
    // always switch, and more may if the others can do the current work without
    // them: switching one after the other takes as long as several bursts.
    double max_switching_share = 0.15;
    // Min number of known requests for switching more. Sizes of requests differ
    // by a half and those of answers by more; the first few would switch a
    // third of the endpoints, and later ones would switch them back.
    std::uint32_t min_requests_for_spare = 30;
    // Share of the prefill endpoints that must have been in use, over the last
    // seconds, before others switch to prefill.
    double min_prefill_use = 0.6;
    // Time beyond the engine's own time for a switch until the endpoint's
    // record must show the new role: running work ends first, and the record is
    // read every 0.5 s.
    Duration record_delay = 1500ms;
    // For how many times the time of a switch a need must have lasted. A need
    // that ends sooner is that of a burst: the endpoint would miss the burst,
    // and another switch would undo the first.
    double lasting_switches = 2;
  };

  explicit RolePlanner(Options planner_options) : options(planner_options) {}

  // A request arrived.
  void NoteRequest(const GenerationSize& size);
  // Sizes of the requests that arrived at a peer. A later report replaces the
  // earlier one.
  void NotePeer(const std::string& peer,
                const forecast::RequestSizes& sizes,
                Instant now);

  // Sizes of the requests that arrived at this process.
  const forecast::RequestSizes& own_sizes() const { return this->own_requests; }

  // Records the present need, for Plan; call it every 500 ms. Endpoints are
  // switched to decode if more prefill than was needed at any time of the last
  // while, and to prefill if they were too few all that time.
  //
  // Load pattern: a burst makes engines slower and prompts queue, so that
  // within seconds the observed times call for other roles. Endpoints that
  // switch then are out of service in the burst, and have the wrong role in the
  // next; after a restart of all processes the times of queued prompts call for
  // a third of the pool.
  void NoteNeed(const EngineTraits& engine,
                const forecast::ServiceForecast& forecast,
                std::size_t endpoints,
                Instant now);

  // The switches to order now; none while earlier ones are in progress.
  std::vector<RoleChange> Plan(
      const EngineTraits& engine,
      const forecast::ServiceForecast& forecast,
      const std::vector<const EndpointRecord*>& endpoints,
      const LoadTable& load_table,
      Instant now);

  // A switch is about to be ordered.
  void NoteOrdered(const RoleChange& change,
                   const EngineTraits& engine,
                   Instant now);

  // Updates the switches in progress; call it every 500 ms. A switch has ended
  // when the endpoint's record shows the new role. The engine's own time for it
  // begins when the endpoint's running work has ended; the time before is not
  // counted.
  //
  // Otherwise an endpoint that was still busy would be treated as a decode
  // endpoint again while it changes its role: it grants reservations, looks
  // empty, and refuses each prompt that was computed for it, which uses up the
  // repeat budget.
  void Watch(const EngineTraits& engine,
             const std::vector<const EndpointRecord*>& endpoints,
             const LoadTable& load_table,
             Instant now);

  // Endpoints that are changing their role, and the time left.
  std::vector<EndpointPause> Pauses(Instant now) const;

  // Target share of prefill endpoints at a headroom; 0 if unknown.
  double PrefillShare(const EngineTraits& engine,
                      const forecast::ServiceForecast& forecast,
                      double headroom) const;

 private:
  // Target for the number of prefill endpoints.
  struct Bounds {
    double share = 0;  // 0: unknown
    std::size_t min = 0;
    std::size_t max = 0;
    std::size_t least_max = 0;  // over the recorded needs
  };

  Bounds PrefillBounds(const EngineTraits& engine,
                       const forecast::ServiceForecast& forecast,
                       std::size_t endpoints) const;
  // For how long a need must have lasted.
  Duration LastingTime(const EngineTraits& engine) const;
  // The bounds over the recorded needs and this one: the most that was needed
  // at any time, and the least. Until the record covers the time that a need
  // must have lasted, the present maximum, and a minimum of zero.
  Bounds LastingBounds(const Bounds& present,
                       const EngineTraits& engine,
                       Instant now) const;
  // Max number of endpoints in `from` that switch at the same time.
  std::size_t MaxSwitchesAtOnce(const std::vector<const EndpointRecord*>& from,
                                std::size_t endpoints,
                                const EngineTraits& engine,
                                const LoadTable& load_table) const;

  const Options options;
  // Sizes of the requests of all processes.
  forecast::RequestSizes Sizes() const;

  struct PeerSizes {
    forecast::RequestSizes sizes;
    Instant at;
  };
  forecast::RequestSizes own_requests;
  std::map<std::string, PeerSizes> peers;
  struct Need {
    Instant at;
    Bounds bounds;
  };
  std::deque<Need> needs;  // of the last while, the oldest first
  double prefill_use = 0;  // share in use, over the last seconds
  struct Switch {
    EndpointRole role;  // the new one
    Instant until;
  };
  std::map<EndpointId, Switch> switching;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ROLE_PLANNER_H_
