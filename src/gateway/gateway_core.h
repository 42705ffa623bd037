#ifndef GATEWAY_GATEWAY_CORE_H_
#define GATEWAY_GATEWAY_CORE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/urgency_reserve.h"
#include "forecast/types/forecast_digest.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_server.h"
#include "gateway/admission_queue.h"
#include "gateway/answer_memory.h"
#include "gateway/stream_placement.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/endpoint_limit_report.h"
#include "gateway/types/endpoint_load.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/gateway_hooks.h"
#include "origin/types/stream_origin.h"
#include "origin/types/version_report.h"
#include "quota/types/quota_use.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway {

// Makes the decisions of a gateway, which forwards requests unchanged to
// endpoints that this process calls directly, with no agent between. Has no
// socket, thread or clock of its own: hooks and calls supply what it needs. All
// methods run on one thread; not thread safe.
class GatewayCore {
 public:
  struct Options {
    std::string id;  // of this process, named as the holder in its orders
    FailureDomain domain;
    // Limits repeats, which are arrivals at a service beyond the first of each
    // request. All processes together send at most this share of the service's
    // requests plus `repeat_extra`, in any `repeat_window`.
    double repeat_share = 0.2;
    double repeat_extra = 58;
    Duration repeat_window = 10s;
    Instant started_at{};  // of this process
    // For how long a draining process still accepts new requests.
    Duration drain_admission = 2500ms;
    StreamPlacement::Options placement;
    AdmissionQueue::Options admission;
    admission::UrgencyReserve::Options urgency;
    retry::CrashLedger::Options crashes;
    retry::CrashLedger::Options part_crashes = retry::PartCrashOptions();
    quota::Tolerance quotas;
    AnswerMemory::Options answer_memory;
    GatewayHooks hooks;
    EndpointDialect dialect;
  };

  GatewayCore(Options core_options, RandomSource& random_source);
  ~GatewayCore();

  // Answers `request` through `responder`, before it returns or later.
  void Handle(http::Request request, http::ResponderPtr responder);

  // Activates a configuration if it is newer than the active one, and returns
  // whether it did. Requests under way keep the configuration that they arrived
  // under.
  bool SetConfiguration(std::shared_ptr<const Configuration> newest);
  // Null while no configuration is known.
  std::shared_ptr<const Configuration> configuration() const;

  // Updates the known endpoints; returns whether anything changed.
  bool Apply(const EndpointChange& change);
  bool Apply(const EndpointSnapshot& snapshot);
  // As EndpointCatalog::Snapshot.
  EndpointSnapshot Endpoints(LogOffset since = {}) const;
  LogOffset endpoints_complete_to() const;
  LogOffset endpoints_changed_to() const;

  // The store of configuration and endpoints became unavailable, or available
  // again.
  // The store named this era, which rises when it returns from an older copy.
  void NoteStoreEra(std::uint64_t era);
  void NoteStoreLost();
  void NoteStoreBack();
  // As EndpointCatalog::NoteStoreRead.
  void NoteStoreRead(Instant asked_at);

  // The load that a peer has placed; how many peers there were recently, live
  // or not (this process not counted; empty while that is not known), and
  // whether this process is the first of the live processes.
  void SetPeerLoad(const std::string& peer, const PeerLoad& load);
  void SetPeers(std::optional<std::size_t> peers, bool first);
  PeerLoad OwnLoad() const;
  // Endpoints whose role this process is changing, and endpoints that it cannot
  // reach; and a pause that a peer reported.
  std::vector<EndpointPause> OwnPauses() const;
  void SetPause(const EndpointPause& pause);

  // What this process observed of the services' engines, and what a peer
  // observed. Each call returns the forecast of the next service in turn; empty
  // while there are no observations of any service.
  std::optional<forecast::ForecastReport> NextForecast();
  void SetPeerForecast(const std::string& peer,
                       const forecast::ForecastReport& reported);

  // Requests, and parts of prompts, that were at endpoints when these ended:
  // the reports that the peers should receive (CrashLedger::CollectReports), a
  // report of a peer, and a renewed sending of the reports because a peer has
  // received none yet.
  std::vector<retry::CrashRecord> CollectCrashReports(std::size_t max_count,
                                                      std::size_t round) const;
  void SetPeerCrash(const retry::CrashRecord& reported);
  void ResendCrashReports();

  // Customers' quotas: the reports of what this process took that the peers of
  // a group should receive (quota::QuotaLedger::CollectReports); a peer's
  // heartbeat with its reports; and a peer that is listed.
  std::vector<quota::QuotaUse> CollectQuotaReports(std::size_t group,
                                                   std::size_t max_count);
  void OnPeerHeartbeat(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& reported);
  void OnPeerListed(const std::string& peer);

  // Limits that endpoints name in their answers: the reports that the peers
  // should receive (EndpointLimits::CollectReports), and a report of a peer.
  std::vector<EndpointLimitReport> CollectLimitReports(std::size_t max_count,
                                                       std::size_t round) const;
  void SetPeerLimit(const EndpointLimitReport& reported);

  // At which software versions streams began (StreamOrigins): a peer's message,
  // and the reports for peers' heartbeats and of them.
  void OnOriginMessage(const std::string& peer,
                       const origin::OriginMessage& message);
  std::vector<origin::VersionReport> VersionReports() const;
  void SetPeerVersions(const std::vector<origin::VersionReport>& reports);
  // All changes of endpoints that the store had at this time are known here.
  void NoteCatalogConfirmed(Instant at);
  // The stored record of a service's versions; all were read; and whether a
  // record was stored.
  void SetVersionRecord(const origin::VersionRecord& record);
  void NoteVersionRecordsRead();
  void OnVersionsRecorded(const origin::VersionRecord& record, bool written);

  // The process ends the unanswered requests after `grace`. Refuses new work
  // after Options::drain_admission, and work that is likely to take longer at
  // once, also if it waits for a place. Closes the connection with each answer.
  void BeginDrain(Duration grace);
  // Answers all requests of which no answer has begun, since the process ends
  // soon: those that may have run as unknown, the others as not run.
  void EndUnanswered();

  // Fires the timers that are due. Must be called at next_timer(); a call that
  // comes much later indicates a process stall, which is reported by
  // GatewayHooks::on_stall.
  void OnTimer();
  Instant next_timer() const;

  // Whether a configuration and an endpoint are known.
  bool Ready() const;
  std::size_t endpoint_count() const;
  std::size_t requests_under_way() const;
  std::size_t requests_waiting() const;
  std::size_t requests_quarantined() const;
  std::size_t parts_quarantined() const;
  std::vector<retry::CrashRecord> QuarantinedRequests() const;
  std::size_t endpoints_limited() const;
  std::size_t stream_origins() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_GATEWAY_CORE_H_
