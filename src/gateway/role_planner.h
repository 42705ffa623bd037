#ifndef GATEWAY_ROLE_PLANNER_H_
#define GATEWAY_ROLE_PLANNER_H_

#include <cstddef>
#include <cstdint>
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
  double share = 0;  // of the endpoints that should prefill
};

// Decides how many endpoints of a service prefill and how many decode, from
// the shape of its requests.
//
// Load pattern: bursts to twice the mean, of requests whose prompts are read in
// a tenth of a second and whose answers hold memory for some seconds. Of what
// is offered, decode memory runs out first; prefill endpoints beyond those that
// a burst needs stand idle. The shares follow from two times that one request
// takes of one endpoint: computing its prompt, and its share of the memory for
// as long as it is held. A switch takes an endpoint out for some seconds, so
// that nothing is switched for a change that is within the rounding, and none
// is taken from the answers while the prefill endpoints are not kept busy: the
// first requests may be unlike the rest. Not thread safe.
class RolePlanner {
 public:
  struct Options {
    // Prefill endpoints above the pure share are too many, with the number
    // rounded up: each of them holds no answers.
    double prefill_headroom = 1.0;
    // With less than this of it the prefill endpoints hold the answers up.
    double min_headroom = 0.75;
    // Requests whose sizes are known, here or from peers, before anything is
    // decided.
    std::uint32_t min_requests = 12;
    // What a peer told counts for so long.
    Duration peer_memory = 10s;
    // Share of the endpoints that are switched at the same time, at most; one
    // in any case, and more where those that stay can do the work of the moment
    // without them: one after the other takes several bursts' time.
    double share_at_once = 0.15;
    // Requests that must be known for that. Sizes differ by a half and answers
    // by more; by the first few a third of the endpoints would be switched, and
    // back again.
    std::uint32_t min_requests_for_spare = 30;
    // Part of the prefill endpoints that must have been in use, over the last
    // seconds, before more are made.
    double min_prefill_use = 0.6;
    // Beyond the engine's own time for a switch, until its record must show it:
    // what runs there ends first, and the record is read each half second.
    Duration record_delay = 1500ms;
  };

  explicit RolePlanner(Options planner_options) : options(planner_options) {}

  // A request came.
  void NoteRequest(const GenerationSize& size);
  // Requests that came to a peer; a later word replaces the earlier one.
  void NotePeer(const std::string& peer,
                const forecast::RequestSizes& sizes,
                Instant now);

  // Of the requests that came here.
  const forecast::RequestSizes& own_sizes() const { return this->own; }

  // The switches to order now; none while earlier ones are under way.
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

  // Follows the switches under way; call it now and then (each 500 ms). One is
  // over when the endpoint's record shows the new role. The engine's own time
  // for it begins when what runs there has ended: until then it is not counted.
  //
  // Without that, one that is still busy is taken for a decode endpoint again
  // while it changes its role: it grants reservations, looks empty, and refuses
  // each prompt that was computed for it, which uses up the repeat budget.
  void Watch(const EngineTraits& engine,
             const std::vector<const EndpointRecord*>& endpoints,
             const LoadTable& load_table,
             Instant now);

  // Endpoints that change their role now, and for how long yet.
  std::vector<EndpointPause> Pauses(Instant now) const;

  // Share of the endpoints that should prefill at a headroom; 0 if unknown.
  double PrefillShare(const EngineTraits& engine,
                      const forecast::ServiceForecast& forecast,
                      double headroom) const;

 private:
  // How many of the endpoints should prefill.
  struct Bounds {
    double share = 0;  // 0: not known
    std::size_t min = 0;
    std::size_t max = 0;
  };

  Bounds PrefillBounds(const EngineTraits& engine,
                       const forecast::ServiceForecast& forecast,
                       std::size_t endpoints) const;
  // How many of `from` are switched at the same time, at most.
  std::size_t AtOnce(const std::vector<const EndpointRecord*>& from,
                     std::size_t endpoints,
                     const EngineTraits& engine,
                     const LoadTable& load_table) const;

  const Options options;
  // Of all processes.
  forecast::RequestSizes Sizes() const;

  struct PeerSizes {
    forecast::RequestSizes sizes;
    Instant at;
  };
  forecast::RequestSizes own;
  std::map<std::string, PeerSizes> peers;
  double prefill_use = 0;  // part of these endpoints, over the last seconds
  struct Switch {
    EndpointRole role;  // the new one
    Instant until;
  };
  std::map<EndpointId, Switch> switching;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ROLE_PLANNER_H_
