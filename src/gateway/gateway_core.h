#ifndef GATEWAY_GATEWAY_CORE_H_
#define GATEWAY_GATEWAY_CORE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forecast/types/forecast_digest.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_server.h"
#include "gateway/admission_queue.h"
#include "gateway/stream_placement.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/endpoint_load.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/gateway_hooks.h"
#include "quota/types/quota_use.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway {

// The decisions of a gateway: requests that are passed on unchanged to
// endpoints which this process calls itself, with no agent between. Has no
// socket, thread or clock; what it needs comes by hooks and calls. All methods
// run on one thread; not thread safe.
class GatewayCore {
 public:
  struct Options {
    std::string id;  // of this process, as the holder of orders
    FailureDomain domain;
    // Arrivals at a service beyond the first of each request, of all processes
    // together: this share of its requests and this many more, in any window.
    double repeat_share = 0.2;
    double repeat_extra = 58;
    Duration repeat_window = 10s;
    // While it drains, requests that come later than this are refused: a
    // stream that begins then would be cut off by the end of the grace.
    Duration drain_admission = 2500ms;
    StreamPlacement::Options placement;
    AdmissionQueue::Options admission;
    retry::CrashLedger::Options crashes;
    quota::Tolerance quotas;
    GatewayHooks hooks;
    EndpointDialect dialect;
  };

  GatewayCore(Options core_options, RandomSource& random_source);
  ~GatewayCore();

  // A request came. Answers it by the responder, now or later.
  void Handle(http::Request request, http::ResponderPtr responder);

  // A configuration is in force from now on, unless it is not newer than the
  // present one. Requests under way keep theirs. True: taken.
  bool SetConfiguration(std::shared_ptr<const Configuration> newest);
  // Null: none is known yet.
  std::shared_ptr<const Configuration> configuration() const;

  // News of endpoints; true when anything changed.
  bool Apply(const EndpointChange& change);
  bool Apply(const EndpointSnapshot& snapshot);
  EndpointSnapshot Endpoints() const;
  LogOffset endpoints_complete_to() const;
  LogOffset endpoints_changed_to() const;

  // The store of configuration and endpoints stopped, or began, to serve.
  void NoteStoreLost();
  void NoteStoreBack();

  // Peers: what they placed, how many there were lately, heard or not (this
  // process not counted), and whether it is the first of those alive.
  void SetPeerLoad(const std::string& peer, const PeerLoad& load);
  void SetPeers(std::size_t peers, bool first);
  PeerLoad OwnLoad() const;
  // Endpoints whose role this process is changing, and those that it cannot
  // reach; and what a peer told.
  std::vector<EndpointPause> OwnPauses() const;
  void SetPause(const EndpointPause& pause);

  // What this process learned of the services' engines, and what a peer did.
  // Of one service after the other, one with each call; empty: of none yet.
  std::optional<forecast::ForecastReport> NextForecast();
  void SetPeerForecast(const std::string& peer,
                       const forecast::ForecastReport& reported);

  // Requests under which endpoints ended: what the peers should hear of them
  // (CrashLedger::CollectReports), what a peer told, and that a peer knows
  // nothing yet.
  std::vector<retry::CrashRecord> CollectCrashReports(std::size_t max_count,
                                                      std::size_t round) const;
  void SetPeerCrash(const retry::CrashRecord& reported);
  void ResendCrashReports();

  // Customers' quotas: what the peers of a group should hear of what this
  // process took (quota::QuotaLedger::CollectReports); that a peer was heard,
  // with what it told; and that one is said to be there.
  std::vector<quota::QuotaUse> CollectQuotaReports(std::size_t group,
                                                   std::size_t max_count);
  void OnPeerHeartbeat(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& reported);
  void OnPeerListed(const std::string& peer);

  // New work is refused after a while, and answers close their connections.
  void BeginDrain();

  // Rings what is due. Call it at next_timer(). A call that comes much later
  // tells of a standstill, as GatewayHooks::on_stall does.
  void OnTimer();
  Instant next_timer() const;

  // A configuration and an endpoint are known.
  bool Ready() const;
  std::size_t requests_under_way() const;
  std::size_t requests_waiting() const;
  std::size_t requests_quarantined() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_GATEWAY_CORE_H_
