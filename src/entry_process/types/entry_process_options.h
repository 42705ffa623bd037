#ifndef ENTRY_PROCESS_TYPES_ENTRY_PROCESS_OPTIONS_H_
#define ENTRY_PROCESS_TYPES_ENTRY_PROCESS_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cluster/i_log.h"
#include "entry/types/entry_options.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "framework/net/frame_channel.h"
#include "heartbeat/heartbeat_budget.h"

namespace acacialug::entry_process {

// Bounds on what one shard holds for a caller.
struct AnswerLimits {
  std::size_t max_whole_bytes = 8 * 1024 * 1024;  // for an unstreamed answer
  std::size_t max_unsent_bytes = 256 * 1024;      // unread text of a stream
  // How long the caller may take to read the last event of a broken stream
  // before the connection is cut.
  Duration cut_within = 5s;
};

struct EntryProcessOptions {
  entry::EntryOptions core;
  http::Address listen;
  std::optional<http::Address> operations_listen;
  int shards = 2;
  // How often the sessions of all shards are renewed. Its shortest interval
  // is core.renew_interval.
  heartbeat::HeartbeatBudget::Options heartbeats;
  http::ServerLimits limits;
  http::TlsFiles tls;            // callers' port
  net::ChannelOptions channels;  // to the agents
  AnswerLimits answers;
  // From SIGTERM until new requests are refused: the balancer needs this time
  // to see /readyz fail and to send its callers elsewhere.
  Duration drain_delay = 2s;
  // Counted from the end of drain_delay; requests that still run at its end are
  // cut off when the process ends.
  Duration drain_grace = 120s;
  // How long a starting process waits for an agent of every service before it
  // becomes ready without one: a service that is wholly down must not keep the
  // entries from serving the other services.
  Duration ready_wait = 10s;
  // The number of entries that serve side by side: each grants its share of the
  // callers' rates, so that the shares add up without a shared counter.
  std::uint32_t live_entries = 1;
  // Memory for the traces of requests, all shards together; zero: no traces are
  // kept.
  std::size_t trace_bytes = std::size_t{4} * 1024 * 1024;
  // Whether POST /drain on the operations port is allowed.
  bool allow_drain = false;
  // Makes a client of the platform's log, on each shard's thread for claims and
  // once on the main thread for digests. Empty: there is no log, and calls that
  // need a claim are refused.
  std::function<std::unique_ptr<cluster::ILog>()> make_log;
  // The log keeps records at least for this time; idempotency keys are accepted
  // for a shorter time.
  Duration log_retention = 24h;
  // Runs on the main thread when an agent reports a manifest newer than the
  // active one.
  std::function<void(LogOffset offset)> on_manifest_reported;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TYPES_ENTRY_PROCESS_OPTIONS_H_
