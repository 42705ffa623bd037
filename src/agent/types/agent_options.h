#ifndef AGENT_TYPES_AGENT_OPTIONS_H_
#define AGENT_TYPES_AGENT_OPTIONS_H_

#include <cstdint>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "heartbeat/heartbeat_budget.h"
#include "manifest/types/manifest.h"

namespace acacialug::agent {

// The time at which a decode slot is given to a request (docs/decisions/).
enum class ReservationPolicy : std::uint8_t {
  kNone,     // baseline: prefill first, look for a slot afterwards
  kHold,     // the slot is held from before the prefill
  kPromise,  // the slot is promised for the prefill's end
};
inline constexpr EnumNames<ReservationPolicy, 3> kReservationPolicyNames = {{
    {ReservationPolicy::kNone, "none"},
    {ReservationPolicy::kHold, "hold"},
    {ReservationPolicy::kPromise, "promise"},
}};

// The order in which admitted prefills reach the engine.
enum class PrefillOrder : std::uint8_t { kArrival, kDeadline, kNewest };
inline constexpr EnumNames<PrefillOrder, 3> kPrefillOrderNames = {{
    {PrefillOrder::kArrival, "arrival"},
    {PrefillOrder::kDeadline, "deadline"},
    {PrefillOrder::kNewest, "newest"},
}};

// Safety rules that a test may switch off to show that the checker of the
// scenarios detects their absence. Always true in the programs.
struct AgentRules {
  bool expire_leases = true;
  bool check_attempts = true;
  bool clean_sessions = true;
  bool reserve_before_prefill = true;
  bool wait_for_maintenance = true;
};

struct AgentOptions {
  EndpointId endpoint;
  Incarnation incarnation;
  FailureDomain domain;
  protocol::EndpointRole role = protocol::EndpointRole::kPlain;
  std::uint64_t kv_tokens = 0;              // decode
  std::uint32_t slots = 1;                  // streams, prefills, calls at once
  std::uint64_t link_bytes_per_second = 0;  // decode; 0: not limited
  ReservationPolicy reservation = ReservationPolicy::kHold;
  PrefillOrder order = PrefillOrder::kArrival;
  bool feasibility_counts_queue = true;  // false: the baseline's plain test
  // The minimum lease; it is longer when an interval between renewals requires
  // it.
  Duration session_lease = 3s;
  // There is no shortest interval, since the entries set it.
  heartbeat::HeartbeatBudget::Options heartbeats{.shortest = Duration::zero()};
  Duration export_lifetime = 800ms;  // how long the engine keeps an export
  Duration reservation_limit = 30s;  // a reservation never lives longer
  Duration stall_timeout = 5s;       // a stream without a token for this time
  Duration drain_grace = 60s;
  Duration call_limit = 10min;  // a call without an answer is abandoned
  double initial_prefill_tokens_per_second = 20000;
  Duration initial_token_interval = 30ms;
  std::uint32_t queue_limit = 64;
  // Answers kept for at-most-once execution.
  Duration once_window = 24h;
  std::uint64_t once_max_bytes = 4 * 1024 * 1024;
  std::uint32_t once_max_keys = 20000;
  // Orders that take a serving endpoint out of service wait for their place in
  // the maintenance queue, in the pool's stream of the platform's log. False
  // where there is no log.
  bool use_maintenance_queue = false;
  // An endpoint leaves service only if the utilisation of the rest then stays
  // below this share.
  double max_remaining_utilisation = 0.8;
  Duration utilisation_memory = 10s;
  AgentRules rules;
};

}  // namespace acacialug::agent

#endif  // AGENT_TYPES_AGENT_OPTIONS_H_
