#ifndef GATEWAY_PROCESS_TYPES_GATEWAY_SETTINGS_H_
#define GATEWAY_PROCESS_TYPES_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "framework/log/types/record.h"
#include "gateway/admission_queue.h"
#include "gateway/stream_placement.h"
#include "quota/types/quota_use.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway_process {

struct GatewaySettings {
  std::string id;  // unique among the peers of this process
  FailureDomain domain;
  http::Address listen;            // callers
  http::Address readiness_listen;  // the load balancer's probe
  std::string readiness_path = "/readyz";
  // Load datagrams and the catalog page, exchanged with peers.
  http::Address peer_listen;
  std::optional<http::Address> operations_listen;  // metrics
  log::Level log_level = log::Level::kInfo;

  // Of this process; callers' requests, answers that are not whole, and answers
  // that callers have not taken get a part of it each.
  std::size_t memory_limit = std::size_t{96} * 1024 * 1024;
  Duration drain_grace = 7500ms;  // until this process is ended by force

  double repeat_share = 0.2;
  double repeat_extra = 58;
  Duration repeat_window = 10s;

  gateway::StreamPlacement::Options placement;
  gateway::AdmissionQueue::Options admission;
  retry::CrashLedger::Options crashes;
  retry::CrashLedger::Options part_crashes = retry::PartCrashOptions();
  quota::Tolerance quotas;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_TYPES_GATEWAY_SETTINGS_H_
