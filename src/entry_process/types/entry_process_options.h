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

// What one shard keeps for a caller at most.
struct AnswerLimits {
  std::size_t max_whole_bytes = 8 * 1024 * 1024;  // of an unstreamed answer
  std::size_t max_unsent_bytes = 256 * 1024;      // of a stream, unread
  // How long the last event of a broken stream may take to be read before
  // the connection is cut.
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
  // From SIGTERM until new requests are refused: the balancer needs it to
  // see /readyz fail and to send its callers elsewhere.
  Duration drain_delay = 2s;
  // From then on; what still runs is cut off by the process's end.
  Duration drain_grace = 120s;
  // How long a starting process waits for an agent of every service before
  // it is ready without: one service that is wholly down must not keep the
  // entries from serving the others.
  Duration ready_wait = 10s;
  // How many entries serve side by side: each grants its part of the callers'
  // rates, so that the parts add up without a shared counter.
  std::uint32_t live_entries = 1;
  // Traces of requests, all shards together; zero: none are kept.
  std::size_t trace_bytes = std::size_t{4} * 1024 * 1024;
  // Whether POST /drain on the operations port is followed.
  bool allow_drain = false;
  // The platform's log, made on each shard's thread for claims and once on the
  // main thread for digests. Empty: no log; calls that need a claim are
  // refused.
  std::function<std::unique_ptr<cluster::ILog>()> make_log;
  // The log keeps records at least so long; keys are taken for less.
  Duration log_retention = 24h;
  // An agent spoke of a manifest newer than the one in force here. Runs on
  // the main thread.
  std::function<void(LogOffset offset)> on_manifest_heard;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_TYPES_ENTRY_PROCESS_OPTIONS_H_
