#ifndef GATEWAY_INTERNAL_RELAY_CONTEXT_H_
#define GATEWAY_INTERNAL_RELAY_CONTEXT_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admission/urgency_reserve.h"
#include "forecast/learned_quantile.h"
#include "forecast/service_forecast.h"
#include "framework/global/random_source.h"
#include "framework/http/http_server.h"
#include "gateway/admission_queue.h"
#include "gateway/answer_memory.h"
#include "gateway/call_placement.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/endpoint_limits.h"
#include "gateway/endpoint_paces.h"
#include "gateway/internal/endpoint_sender.h"
#include "gateway/internal/processes_seen.h"
#include "gateway/internal/quarantine.h"
#include "gateway/internal/stream_origins.h"
#include "gateway/internal/timer_queue.h"
#include "gateway/load_table.h"
#include "gateway/repeat_budget.h"
#include "gateway/route_table.h"
#include "gateway/stream_placement.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/gateway_hooks.h"

namespace acacialug::gateway {

// The state of one service in one process.
struct ServiceState {
  AdmissionQueue queue;
  RepeatBudget budget;
  admission::UrgencyReserve urgency;
  forecast::ServiceForecast forecast;
  // Actual lengths of answers by their callers' estimates.
  forecast::LearnedQuantile length_ratio;
  forecast::ForecastDigest forecast_logged{};  // in the last log entry
};

// The state and hooks that all relays of a core share.
struct RelayContext {
  const GatewayHooks& hooks;
  const EndpointDialect& dialect;
  FailureDomain domain;
  EndpointSender& sender;
  EndpointLimits& limits;
  EndpointCatalog& catalog;
  EndpointHealth& health;
  LoadTable& load_table;
  EndpointPaces& paces;
  const StreamPlacement& streams;
  const CallPlacement& calls;
  TimerQueue& timers;
  Quarantine& quarantine;
  StreamOrigins& origins;
  ProcessesSeen& processes_seen;
  AnswerMemory& answer_memory;
  RandomSource& random;
  // The number of processes that share the repeat budget, including this
  // process; 0 while it is not known.
  std::function<std::size_t()> processes;
  // Whether answers close their connections, so that callers use another
  // connection for the next request.
  std::function<bool()> closing;
  // A generation found no placement or lost it, and nothing of it is under way.
  std::function<void(class StreamRelay& relay)> on_unplaced;
  // Capacity was released, which a waiting generation may take.
  std::function<void(const ServiceName& service)> on_capacity_freed;

  // The messages that a request to the endpoint takes: one, and one for a
  // reservation.
  std::uint32_t MessagesOf(const EndpointRecord& endpoint) const;
  // Whether this process may place a request at the endpoint now.
  bool Available(const EndpointRecord& endpoint) const;
  // Sends a message that releases memory, whose answer doesn't matter, unless
  // the endpoint rests: the memory lapses there.
  void SendRelease(const EndpointRecord& endpoint,
                   const http::Request& release) const;
  // For the log: how many endpoints of a service take work, and how many of
  // them are unavailable to this process, by reason.
  std::vector<log::Field> AvailabilityFields(const ServiceName& service) const;
  // Those endpoints of a service; valid until the catalog's next change.
  std::vector<const EndpointRecord*> AvailableEndpoints(
      const ServiceName& service) const;
};

// One request that the gateway handles.
struct RelayJob {
  WorkRequest request;
  http::ResponderPtr responder;
  CrashSubjects subjects;
  bool is_probe = false;      // sent although it is in quarantine
  std::uint32_t attempt = 0;  // unique among the attempts at all processes
  // Keeps the configuration that the request arrived under.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  ServiceName service;
  const ServiceTraits* traits = nullptr;
  ServiceState* state = nullptr;
  const Customer* customer = nullptr;  // null: none
  std::uint32_t priority = 0;          // 0 is served first
  // Among the requests of the service, if they differ in urgency (RouteTable).
  std::optional<std::uint32_t> urgency;
  double quota_taken = 0;  // from the customer's quota
  Instant arrived;
  // How much shorter the deadline is than the longest on the route: earlier
  // attempts used up part of it, or the caller allows less time.
  Duration spent{};
  // `spent` is so large that the request must have been refused before.
  bool is_retry = false;

  // Of the service; null: it has none.
  const EngineTraits* Engine() const {
    return this->traits != nullptr && this->traits->engine
               ? &*this->traits->engine
               : nullptr;
  }

  // From its arrival to the route's timeout or the caller's deadline, whichever
  // is earlier. Precondition: it has a route.
  Duration TimeLimit() const {
    return std::min(this->route->timeout,
                    this->request.deadline.value_or(this->route->timeout));
  }
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RELAY_CONTEXT_H_
