#ifndef ENTRY_TYPES_ENTRY_OPTIONS_H_
#define ENTRY_TYPES_ENTRY_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "agent/types/agent_options.h"
#include "entry/i_once_coordinator.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::entry {

// How an endpoint is picked. kRandom, kRoundRobin and kLeastReported are
// baselines for the benchmark.
enum class PlacementPolicy : std::uint8_t {
  kPredicted,  // sampled endpoints, best predicted time
  kRandom,
  kRoundRobin,
  kLeastReported,  // least load by the last report, however old
};
inline constexpr EnumNames<PlacementPolicy, 4> kPlacementPolicyNames = {{
    {PlacementPolicy::kPredicted, "predicted"},
    {PlacementPolicy::kRandom, "random"},
    {PlacementPolicy::kRoundRobin, "round_robin"},
    {PlacementPolicy::kLeastReported, "least_reported"},
}};

// Which waiting request is dispatched first when a slot becomes free.
enum class QueueOrder : std::uint8_t { kArrival, kDeadline, kNewest };
inline constexpr EnumNames<QueueOrder, 3> kQueueOrderNames = {{
    {QueueOrder::kArrival, "arrival"},
    {QueueOrder::kDeadline, "deadline"},
    {QueueOrder::kNewest, "newest"},
}};

// Safety rules that a test may switch off to show that the scenario checker
// detects their absence. They are always on in the programs.
struct EntryRules {
  bool check_attempts = true;  // drop frames of superseded attempts
  bool check_sequence = true;  // deliver each chunk once, in order
  bool claim_before_dispatch = true;
  bool reserve_before_prefill = true;
};

// Progress of a request that its messages do not show.
enum class Progress : std::uint8_t { kQueued, kDispatched, kEndpointLost };
inline constexpr EnumNames<Progress, 3> kProgressNames = {{
    {Progress::kQueued, "queued"},
    {Progress::kDispatched, "dispatched"},
    {Progress::kEndpointLost, "endpoint_lost"},
}};

struct ProgressNote {
  RequestId request;
  Progress progress = Progress::kQueued;
  EndpointId endpoint;  // kEndpointLost only
  Instant at{};
};

struct EntryOptions {
  EntryId id;
  Incarnation incarnation;
  // The process that this core is a shard of, and its incarnation. Heartbeats
  // of the process renew the sessions of all its shards. An empty id means that
  // the core belongs to no such process.
  EntryId process;
  Incarnation process_incarnation;
  FailureDomain domain;
  PlacementPolicy placement = PlacementPolicy::kPredicted;
  QueueOrder order = QueueOrder::kArrival;
  // Must match the agents' policy. kNone requests a decode slot only after the
  // prefill.
  agent::ReservationPolicy reservation = agent::ReservationPolicy::kHold;
  bool feasibility_counts_queue = true;
  Duration renew_interval = 1s;  // of sessions; the byte budget lengthens it
  Duration reserve_timeout = 300ms;  // for the answer to a Reserve
  Duration stall_timeout = 5s;       // a stream or prefill without progress
  Duration default_deadline = 120s;
  double retry_share = 0.1;  // of recent successes
  // Covers the simultaneous loss of two full decode endpoints.
  double retry_burst = 40;
  std::uint32_t max_attempts = 4;
  std::uint32_t window_chunks = 256;
  std::uint32_t working_set = 64;         // connected endpoints per pool
  std::uint32_t sampled = 3;              // endpoints compared per decode
  std::uint32_t max_requests = 20000;     // alive at once per shard
  Duration claim_commit_interval = 20ms;  // group commit of claims
  std::uint32_t shards = 1;  // of this entry, each with its own core
  EntryRules rules;
  // Creates the coordinator that limits non-idempotent calls to one run. Empty:
  // there is no log, and the agents' ledgers alone limit them.
  std::function<std::unique_ptr<IOnceCoordinator>(const EntryOptions&)>
      make_once;
  // Observes progress for traces; it must not call the core. Empty: none.
  std::function<void(const ProgressNote& note)> on_progress;
};

}  // namespace acacialug::entry

#endif  // ENTRY_TYPES_ENTRY_OPTIONS_H_
