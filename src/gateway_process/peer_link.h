#ifndef GATEWAY_PROCESS_PEER_LINK_H_
#define GATEWAY_PROCESS_PEER_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forecast/types/forecast_digest.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "gateway/types/endpoint_limit_report.h"
#include "gateway/types/endpoint_load.h"
#include "gateway_process/internal/catalog_page.h"
#include "origin/types/stream_origin.h"
#include "origin/types/version_report.h"
#include "quota/types/quota_use.h"
#include "retry/types/crash_record.h"

namespace acacialug::gateway_process {

// Exchanges placed load with the other gateways by datagrams, and fetches
// configuration and endpoints from them while the store does not serve this
// process. A new process needs only one peer's address: each peer answers every
// process that it receives a heartbeat from, and so becomes known to it.
//
// Lives on one thread with a Qt event loop; not thread safe.
class PeerLink {
 public:
  struct Options {
    std::string id;
    FailureDomain domain;
    Incarnation incarnation;
    // UDP for loads, TCP for the catalog page.
    http::Address listen;
    std::function<gateway::PeerLoad()> own_load;
    // For a peer that knows the endpoints' changes before `endpoints_known`.
    std::function<Catalog(LogOffset endpoints_known)> own_catalog;
    // Endpoints that this process paused; sent to the peers.
    std::function<std::vector<gateway::EndpointPause>()> own_pauses;
    std::function<void(const gateway::EndpointPause& pause)> on_pause;
    std::function<void(const std::string& peer, const gateway::PeerLoad& load)>
        on_load;
    // `next_forecast` returns what this process learned of one service's
    // engines, each time of another service; empty if it learned nothing.
    // `on_forecast` receives a peer's report.
    std::function<std::optional<forecast::ForecastReport>()> next_forecast;
    std::function<void(const std::string& peer,
                       const forecast::ForecastReport& report)>
        on_forecast;
    // Requests under which endpoints ended: `collect_crash_reports` returns
    // those for the `round`-th heartbeat, `on_crash` receives a peer's report,
    // and `on_new_peer` runs when a peer becomes live that may know no such
    // request.
    std::function<std::vector<retry::CrashRecord>(std::size_t max_count,
                                                  std::size_t round)>
        collect_crash_reports;
    std::function<void(const retry::CrashRecord& report)> on_crash;
    std::function<void()> on_new_peer;
    // Limits of endpoints, likewise.
    std::function<std::vector<gateway::EndpointLimitReport>(
        std::size_t max_count,
        std::size_t round)>
        collect_limit_reports;
    std::function<void(const gateway::EndpointLimitReport& report)> on_limit;
    // Customers' quotas: `collect_quota_reports` returns the usage of this
    // process to report to the peers of a group, `on_heartbeat` receives a
    // peer's report with each heartbeat, and `on_listed` runs for each peer
    // that is listed as a member.
    std::function<std::vector<quota::QuotaUse>(std::size_t group,
                                               std::size_t max_count)>
        collect_quota_reports;
    std::function<void(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& report)>
        on_heartbeat;
    std::function<void(const std::string& peer)> on_listed;
    // Origins of streams: `version_reports` returns what this process knows of
    // services' versions, `on_versions` receives a peer's reports, `on_origins`
    // its messages (SendOrigins).
    std::function<std::vector<origin::VersionReport>()> version_reports;
    std::function<void(const std::vector<origin::VersionReport>& reports)>
        on_versions;
    std::function<void(const std::string& peer,
                       const origin::OriginMessage& message)>
        on_origins;
    // This process knows all changes of endpoints that the store had at this
    // time: it read them itself, or a peer that has told it how long ago the
    // store was read knows no more. Peers that don't reach the store confirm
    // nothing to each other. The time only rises.
    std::function<void(Instant at)> on_confirmed;
    // The number of live peers, the number of peers listed or received from
    // recently, live or not, which is empty while no list was read and the
    // peers have had no time to be heard, and whether this process's id sorts
    // before all live peers' ids.
    std::function<
        void(std::size_t live, std::optional<std::size_t> known, bool first)>
        on_peer_count;
    std::function<void(const Catalog& catalog)> on_catalog;
    // A peer that does not answer a fetch within this time is unresponsive, and
    // the next peer is asked. In the machine's time, not that of `now`.
    Duration fetch_timeout = 700ms;
    std::function<Instant()> now = MonotonicNow;
  };

  explicit PeerLink(Options link_options);
  ~PeerLink();

  // Errors: kAddressInUse.
  Status Start();

  // Addresses of peers. Peers that sent a heartbeat stay known as well.
  void SetMembers(const std::map<std::string, http::Address>& members);

  // Sends a message about streams' origins at once. It may be lost. Does
  // nothing if the peer is not known.
  void SendOrigins(const std::string& peer,
                   const origin::OriginMessage& message);

  // The load of this process changed; it is sent with the next heartbeat.
  void OnLoadChanged();

  // Sends all pauses at once, in as many heartbeats as they need.
  void ReportPauses();

  struct Positions {
    NextVersion configuration;
    LogOffset changed_to;   // behind the last change of an endpoint
    LogOffset complete_to;  // all changes of endpoints before it are known
  };

  // Sets the positions up to which this process knows configuration and
  // endpoints.
  void SetPositions(const Positions& positions);

  // Sets whether the store serves this process; initially it does not.
  void SetStoreServes(bool serves);

  // This process has just read all changes of endpoints that the store had at
  // `asked_at`, when it asked.
  void NoteStoreRead(Instant asked_at);

  // Whether enough peers read the store, so that their updates reach this
  // process and it need not read. A read costs the store the same with 5
  // processes as with 750, so only a few processes read; a process without a
  // report of a recent read reads the store itself. Datagrams that are received
  // but not read yet count. Must not be called from a hook.
  bool PeersReadStore();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_PEER_LINK_H_
