#ifndef ENTRY_PROCESS_INTERNAL_HEARTBEATS_H_
#define ENTRY_PROCESS_INTERNAL_HEARTBEATS_H_

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include "entry_process/internal/process_state.h"
#include "entry_process/types/entry_process_options.h"
#include "framework/global/random_source.h"
#include "framework/log/repeat_limiter.h"
#include "framework/metrics/registry.h"
#include "framework/net/datagram_socket.h"
#include "heartbeat/heartbeat_sender.h"

namespace acacialug::entry_process {

// A HeartbeatSender with its socket and timer: renews the sessions of all
// shards. Lives on the main thread, with a Qt event loop.
class Heartbeats {
 public:
  struct Options {
    const EntryProcessOptions& process;
    ProcessState& state;
    metrics::Registry& registry;
    log::RepeatLimiter& log_limiter;
    std::uint64_t seed = 0;
    // These hooks run on the main thread and forward their arguments to the
    // shards.
    std::function<void(int shard,
                       const std::vector<heartbeat::RenewalReport>& renewed)>
        on_renewed;
    std::function<void(Duration interval)> on_interval;
    std::function<void(LogOffset offset)> on_manifest_reported;
  };

  explicit Heartbeats(const Options& heartbeat_options);

  // If the socket cannot be opened (this is logged), sessions are renewed by
  // frames.
  void Start();

  void OnOpened(heartbeat::OpenSession session, std::uint16_t port);
  void OnClosed(int shard, const EndpointId& endpoint);
  void OnManifest(LogOffset offset);

 private:
  heartbeat::HeartbeatSender::Options SenderOptions() const;
  void OnDatagram(std::string_view datagram);
  void OnTimer();
  // Carries out the sender's actions.
  void Pump();
  void Send(const heartbeat::SendHeartbeat& action);
  void ArmTimer();
  // Wakes each shard once for the results of a round of heartbeats.
  void ReportToShards();
  void FollowBudget();

  const Options options;
  RandomSource random;
  heartbeat::HeartbeatSender sender;
  net::DatagramSocket socket;
  bool bound = false;
  std::map<EndpointId, http::Address> addresses;
  QObject context;
  QTimer timer;
  QTimer report_timer;
  std::map<int, std::vector<heartbeat::RenewalReport>> renewals;  // by shard
  Instant armed_for = kNever;
  Duration reported_interval{};
  bool within_budget = true;
  metrics::Counter bytes_sent;
  metrics::Counter bytes_received;
  metrics::Counter sent;
  metrics::Counter answered;
  metrics::Counter dropped;
  metrics::Counter over_budget;
  metrics::Gauge interval;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_HEARTBEATS_H_
