#ifndef GATEWAY_INTERNAL_ROLE_ORDERS_H_
#define GATEWAY_INTERNAL_ROLE_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/internal/relay_context.h"
#include "gateway/leader_term.h"
#include "gateway/role_planner.h"

namespace acacialug::gateway {

// Changes the roles of endpoints: looks at the plans of all services each half
// second, and, if it is this process's turn, orders what they ask for. Not
// thread safe.
class RoleOrders {
 public:
  struct Options {
    std::string holder;  // this process, in its orders
    // Null: no configuration is known.
    std::function<const RouteTable*()> routes;
    std::function<const forecast::ServiceForecast&(const ServiceName& service)>
        forecast;
  };

  // `context` outlives this object.
  RoleOrders(Options order_options, RelayContext& relay_context);

  // Begins to look. Call it once.
  void Start();

  // As of RolePlanner, by service.
  void NoteRequest(const ServiceName& service, const GenerationSize& size);

  // Of requests at this process, for its peers; and of those at a peer.
  forecast::RequestSizes SizesOf(const ServiceName& service) const;
  void NotePeer(const ServiceName& service,
                const std::string& peer,
                const forecast::RequestSizes& sizes);

  // As of LeaderTerm.
  void SetFirst(bool first);

  // Endpoints that change their role now, by this process's orders.
  std::vector<EndpointPause> Pauses() const;

 private:
  struct PlannedChange {
    EngineTraits engine;
    RolePlanner* planner;
    RoleChange change;
  };

  Instant Now() const { return this->context.hooks.now(); }
  void Poll();
  // Visits the planners of services that have an engine; none while no
  // configuration is known.
  void ForEachPlanner(const std::function<void(const ServiceName& service,
                                               const EngineTraits& engine,
                                               RolePlanner& planner)>& visit);
  void WatchSwitches();
  void PauseSwitching();
  void AcquireTermIfNeeded();
  std::vector<PlannedChange> Plan();
  void SendOrders(std::uint64_t fencing_token);
  void FetchReportThenOrder(const RoleChange& change,
                            std::uint64_t fencing_token);
  void SendOrder(const RoleChange& change,
                 std::uint64_t fencing_token,
                 std::uint64_t accepted);
  void LogOrder(const RoleChange& change,
                std::uint64_t fencing_token,
                std::string result);

  const Options options;
  RelayContext& context;
  LeaderTerm leader_term{{}};
  std::map<ServiceName, RolePlanner> planners;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_ROLE_ORDERS_H_
