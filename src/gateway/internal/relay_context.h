#ifndef GATEWAY_INTERNAL_RELAY_CONTEXT_H_
#define GATEWAY_INTERNAL_RELAY_CONTEXT_H_

#include <functional>
#include <memory>
#include <string>

#include "forecast/service_forecast.h"
#include "framework/global/random_source.h"
#include "framework/http/http_server.h"
#include "gateway/admission_queue.h"
#include "gateway/call_placement.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/endpoint_health.h"
#include "gateway/internal/timer_queue.h"
#include "gateway/load_table.h"
#include "gateway/repeat_budget.h"
#include "gateway/route_table.h"
#include "gateway/stream_placement.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/gateway_hooks.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway {

// What belongs to one service in one process.
struct ServiceState {
  AdmissionQueue queue;
  RepeatBudget budget;
  forecast::ServiceForecast forecast;
  forecast::ForecastDigest forecast_logged{};  // in the last line of the log
};

// What all relays of a core share.
struct RelayContext {
  const GatewayHooks& hooks;
  const EndpointDialect& dialect;
  FailureDomain domain;
  EndpointCatalog& catalog;
  EndpointHealth& health;
  LoadTable& load_table;
  const StreamPlacement& streams;
  const CallPlacement& calls;
  TimerQueue& timers;
  retry::CrashLedger& crashes;
  RandomSource& random;
  // Processes that share the repeat budget, this one included.
  std::function<std::size_t()> processes;
  // Answers tell callers to use another connection next time.
  std::function<bool()> closing;
  // A generation found no place, or lost it, with nothing under way.
  std::function<void(class StreamRelay& relay)> on_unplaced;
  // Decode memory was given back: somebody who waits may have it.
  std::function<void(const ServiceName& service)> on_capacity_freed;
};

// One request on its way.
struct RelayJob {
  WorkRequest request;
  http::ResponderPtr responder;
  retry::RequestKey key;
  std::uint32_t attempt = 0;  // no other attempt's, at any process
  // Keeps the configuration that the request came under.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  ServiceName service;
  const ServiceTraits* traits = nullptr;
  ServiceState* state = nullptr;
  const Customer* customer = nullptr;  // null: none
  std::uint32_t priority = 0;          // 0 is served first
  double quota_taken = 0;              // of the customer's
  Instant arrived;
  // Less time than others on the route give: some of it was spent on earlier
  // tries, or the caller is less patient.
  Duration spent{};
  // So much less that it must have been refused before.
  bool is_retry = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RELAY_CONTEXT_H_
