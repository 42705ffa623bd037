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
#include "gateway/types/endpoint_load.h"
#include "gateway_process/internal/catalog_page.h"
#include "quota/types/quota_use.h"
#include "retry/types/crash_record.h"

namespace acacialug::gateway_process {

// Tells the other gateways what this one has placed, and hears the same from
// them, by datagrams; and gets configuration and endpoints from them while the
// store does not serve this process. A peer need only know one address of a
// newcomer's to be known to it, since each answers whoever it hears.
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
    std::function<Catalog()> own_catalog;
    // Endpoints that this process took out for a while, for the peers.
    std::function<std::vector<gateway::EndpointPause>()> own_pauses;
    std::function<void(const gateway::EndpointPause& pause)> on_pause;
    std::function<void(const std::string& peer, const gateway::PeerLoad& load)>
        on_load;
    // What this process learned of one service's engines, each time of another;
    // empty: of none. And what a peer did.
    std::function<std::optional<forecast::ForecastReport>()> next_forecast;
    std::function<void(const std::string& peer,
                       const forecast::ForecastReport& report)>
        on_forecast;
    // Requests under which endpoints ended: those for a heartbeat, of which
    // the `round`-th is sent; what a peer told; and that a peer is heard that
    // may know none.
    std::function<std::vector<retry::CrashRecord>(std::size_t max_count,
                                                  std::size_t round)>
        collect_crash_reports;
    std::function<void(const retry::CrashRecord& report)> on_crash;
    std::function<void()> on_new_peer;
    // Customers' quotas: what the peers of a group should hear of what this
    // process took; that a peer was heard, with what it told; and that one is
    // said to be there.
    std::function<std::vector<quota::QuotaUse>(std::size_t group,
                                               std::size_t max_count)>
        collect_quota_reports;
    std::function<void(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& report)>
        on_heartbeat;
    std::function<void(const std::string& peer)> on_listed;
    // How many peers are heard, how many there were lately, heard or not, and
    // whether this process's id is the first of those heard.
    std::function<void(std::size_t live, std::size_t known, bool first)>
        on_peer_count;
    std::function<void(const Catalog& catalog)> on_catalog;
    std::function<Instant()> now = MonotonicNow;
  };

  explicit PeerLink(Options link_options);
  ~PeerLink();

  // Errors: kAddressInUse.
  Status Start();

  // Where peers may be found; those that were heard stay known beside them.
  void SetMembers(const std::map<std::string, http::Address>& members);

  // The own load changed: told soon.
  void OnLoadChanged();

  // All pauses are told at once, in as many heartbeats as they need.
  void ReportPauses();

  struct Positions {
    LogOffset configuration;  // of the one in force plus one; zero: none
    LogOffset changed_to;     // behind the last change of an endpoint
    LogOffset complete_to;    // all changes of endpoints before it are known
  };

  // How far this process knows configuration and endpoints.
  void SetPositions(const Positions& positions);

  // The store serves this process, or stopped to; before the first call it
  // does not.
  void SetStoreServes(bool serves);

  // This process read the store itself, just now.
  void NoteStoreRead();

  // Whether enough others read the store: then what they learn comes from
  // them, and this process need not ask. Each read costs the same for 5
  // processes and for 750, so that only a few do it; whoever hears of no
  // recent read does it itself.
  // What peers sent and was not read yet counts. Not from a hook.
  bool PeersReadStore();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_PEER_LINK_H_
