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

namespace acacialug::gateway_process {

// A gateway: callers' port, readiness port, operations port, its peers, and
// the core that decides. Where configuration and endpoints come from is the
// owner's: it tells by the methods below. Lives on one thread with a running
// Qt event loop; no method is thread safe.
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
    // Runs once after Drain, when every request has its answer, or when the
    // grace is over (`whole` false: something was cut off).
    std::function<void(bool whole)> on_drained;
  };

  // `registry` and `random` outlive this object.
  GatewayProcess(Options process_options,
                 metrics::Registry& registry,
                 RandomSource& random);
  ~GatewayProcess();

  // Errors: kAddressInUse.
  Status Start();

  // News from the store. Older news than what is known is ignored.
  void SetConfiguration(std::shared_ptr<const gateway::Configuration> newest);
  // Position behind the configuration in force; zero: there is none.
  LogOffset configuration_known() const;
  void Apply(const gateway::EndpointChange& change);
  void Apply(const gateway::EndpointSnapshot& snapshot);
  // The store serves this process, or stopped to.
  void SetStoreServes(bool serves);

  // The store was read by this process, just now.
  void NoteStoreRead();
  // Whether others read it, so that this process need not.
  bool PeersReadStore();
  // Other gateways that are heard now.
  std::size_t live_peers() const;

  // A quarantined request that was kept.
  void SetCrash(const retry::CrashRecord& kept);

  // Where other gateways may be found, by their ids.
  void SetMembers(const std::map<std::string, http::Address>& members);

  // Leaves: not ready at once, new work refused after a while, and what runs
  // goes on until the grace is over. Safe to repeat.
  void Drain();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::gateway_process

#endif  // GATEWAY_PROCESS_GATEWAY_PROCESS_H_
