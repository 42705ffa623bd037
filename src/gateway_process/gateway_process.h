#ifndef GATEWAY_PROCESS_GATEWAY_PROCESS_H_
#define GATEWAY_PROCESS_GATEWAY_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "framework/metrics/registry.h"
#include "gateway/leader_term.h"
#include "gateway/types/configuration.h"
#include "gateway/types/endpoint_dialect.h"
#include "gateway/types/endpoint_record.h"
#include "gateway_process/types/gateway_settings.h"
#include "origin/types/version_report.h"

namespace acacialug::gateway_process {

// A gateway: the callers' port, the readiness port, the operations port, the
// link to its peers, and the core that decides. The owner supplies
// configuration and endpoints by the methods below. Lives on one thread with a
// running Qt event loop; no method is thread safe.
class GatewayProcess {
 public:
  struct Options {
    GatewaySettings settings;
    gateway::EndpointDialect dialect;
    // As gateway::GatewayHooks::acquire_term; may be empty.
    std::function<void(
        std::function<void(std::optional<gateway::TermGrant>)> on_done)>
        acquire_term;
    // As gateway::GatewayHooks::on_quarantine; may be empty.
    std::function<void(const retry::CrashRecord& record)> on_quarantine;
    // As gateway::GatewayHooks::on_store_era; may be empty.
    std::function<void(std::uint64_t era)> on_store_era;
    // As gateway::GatewayHooks::record_versions; may be empty.
    std::function<void(const origin::VersionRecord& record)> record_versions;
    // Runs once after Drain, when every request has its answer and all answers
    // have left this process, or when the grace period has ended (`whole`
    // false: an answer was cut off).
    std::function<void(bool whole)> on_drained;
  };

  // `registry` and `random` outlive this object.
  GatewayProcess(Options process_options,
                 metrics::Registry& registry,
                 RandomSource& random);
  ~GatewayProcess();

  // Errors: kAddressInUse.
  Status Start();

  // Updates from the store. An update older than the known state is ignored.
  void SetConfiguration(std::shared_ptr<const gateway::Configuration> newest);
  // Position behind the active configuration; zero: there is none.
  NextVersion configuration_known() const;
  void Apply(const gateway::EndpointChange& change);
  void Apply(const gateway::EndpointSnapshot& snapshot);
  std::vector<retry::CrashRecord> QuarantinedRequests() const;
  // As gateway::GatewayCore::NoteStoreEra.
  void NoteStoreEra(std::uint64_t era);
  // Sets whether the store serves this process.
  void SetStoreServes(bool serves);

  // As PeerLink::NoteStoreRead.
  void NoteStoreRead(Instant asked_at);
  // Whether peers read the store, so that this process need not.
  bool PeersReadStore();
  // The number of live peers.
  std::size_t live_peers() const;

  // Sets a quarantined request that the store kept.
  void SetCrash(const retry::CrashRecord& kept);

  // As the methods of gateway::GatewayCore.
  void SetVersionRecord(const origin::VersionRecord& record);
  void NoteVersionRecordsRead();
  void OnVersionsRecorded(const origin::VersionRecord& record, bool written);

  // Addresses of other gateways, by their ids.
  void SetMembers(const std::map<std::string, http::Address>& members);

  // Starts to leave: the process is not ready from now on, new work is refused
  // after a while, and running requests go on until the grace period ends. Safe
  // to repeat.
  void Drain();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_GATEWAY_PROCESS_H_
