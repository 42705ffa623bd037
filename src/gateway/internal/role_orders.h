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

// Changes the roles of endpoints: evaluates the plans of all services every
// half second and, if this process is granted the leader term, sends the orders
// that the plans require. Not thread safe.
class RoleOrders {
 public:
  struct Options {
    std::string holder;  // id of this process in its orders
    // Returns null while no configuration is known.
    std::function<const RouteTable*()> routes;
    std::function<const forecast::ServiceForecast&(const ServiceName& service)>
        forecast;
  };

  // `relay_context` outlives this object.
  RoleOrders(Options order_options, RelayContext& relay_context);

  // Starts to poll the plans. Must be called once.
  void Start();

  // As RolePlanner::NoteRequest, by service.
  void NoteRequest(const ServiceName& service, const GenerationSize& size);

  // The sizes of requests at this process, to be reported to its peers, and
  // those that a peer reported.
  forecast::RequestSizes SizesOf(const ServiceName& service) const;
  void NotePeer(const ServiceName& service,
                const std::string& peer,
                const forecast::RequestSizes& sizes);

  // As LeaderTerm::SetFirst.
  void SetFirst(bool first);

  // As LeaderTerm::NoteStoreReturned.
  void NoteStoreReturned() { this->leader_term.NoteStoreReturned(this->Now()); }

  // Endpoints whose roles are being changed by orders of this process.
  std::vector<EndpointPause> Pauses() const;

 private:
  struct PlannedChange {
    EngineTraits engine;
    RolePlanner* planner;
    RoleChange change;
  };

  Instant Now() const { return this->context.hooks.now(); }
  void Poll();
  // Visits the planners of services that have an engine; visits none while no
  // configuration is known.
  void ForEachPlanner(const std::function<void(const ServiceName& service,
                                               const EngineTraits& engine,
                                               RolePlanner& planner)>& visit);
  void WatchSwitches();
  void PauseSwitching();
  void AcquireTermIfNeeded();
  std::vector<PlannedChange> Plan();
  void SendOrders(std::uint64_t fencing_token);
  // As LeaderTerm::MayOrder; logs an order that may not be sent.
  bool MayOrder(const RoleChange& change, std::uint64_t fencing_token);
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
