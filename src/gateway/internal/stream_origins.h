#ifndef GATEWAY_INTERNAL_STREAM_ORIGINS_H_
#define GATEWAY_INTERNAL_STREAM_ORIGINS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/endpoint_catalog.h"
#include "gateway/internal/timer_queue.h"
#include "gateway/route_table.h"
#include "gateway/types/gateway_hooks.h"
#include "origin/origin_directory.h"
#include "origin/stream_ledger.h"
#include "origin/version_history.h"
#include "origin/version_recorder.h"

namespace acacialug::gateway {

// How the origin of a stream is known.
enum class OriginSource {
  kLedger,   // this process began the stream, or keeps it for a peer
  kSole,     // its service has had no other version
  kPeer,     // a peer answered
  kUnknown,  // nobody that answered knows
};
inline constexpr EnumNames<OriginSource, 4> kOriginSourceNames = {
    {{OriginSource::kLedger, "ledger"},
     {OriginSource::kSole, "sole"},
     {OriginSource::kPeer, "peer"},
     {OriginSource::kUnknown, "unknown"}}};

// Knows, or finds out, at which software version of its service a stream began:
// what two versions write does not fit together, and endpoints don't check it.
// Not thread safe.
class StreamOrigins {
 public:
  struct Options {
    std::string id;  // of this process
    const GatewayHooks& hooks;
    const EndpointCatalog& catalog;
    TimerQueue& timers;
  };
  struct Origin {
    std::optional<origin::VersionKey> version;  // empty: unknown
    OriginSource source = OriginSource::kUnknown;
    Duration took{};
    std::size_t answered = 0;  // peers that answered a query
    Duration confirmed_age{};  // of the last confirmation of the catalog
  };

  explicit StreamOrigins(Options origin_options);

  void OnConfigurationReplaced(const RouteTable& routes);

  // An endpoint's record was written; the catalog was replaced; peers or the
  // store confirm that nothing newer was known at `at`.
  void OnEndpoint(const EndpointRecord& record);
  void OnCatalogReplaced();
  void OnCatalogConfirmed(Instant at);

  // An attempt is sent to an endpoint, whose events may be the stream's first.
  // `placement` rises with each endpoint that the attempt is sent to.
  void OnPlaced(origin::StreamKey stream,
                std::uint32_t attempt,
                std::uint32_t placement,
                const EndpointRecord& endpoint);

  // For how long the endpoint's version has been known here.
  Duration VersionKnownFor(const EndpointRecord& endpoint) const;
  // Whether streams may begin at the endpoint's version: every process that
  // still takes another version for the only one of the service either knows
  // this one, or has ceased to do so.
  bool Introduced(const EndpointRecord& endpoint) const;
  // As VersionHistory::AllIntroduced.
  bool AllIntroduced(const ServiceName& service) const;

  // Finds the version at which a stream of the service began. `stream` is empty
  // if the caller does not name it. `done` may run before this returns.
  void Resolve(std::optional<origin::StreamKey> stream,
               const ServiceName& service,
               std::function<void(const Origin& origin)> done);

  // The number of the other processes, live or not; empty: not known.
  void SetPeers(std::optional<std::size_t> count) { this->peers = count; }
  void OnPeerHeartbeat(const std::string& peer);
  void OnMessage(const std::string& peer, const origin::OriginMessage& message);
  // What is reported of versions to the peers, and what a peer reported.
  std::vector<origin::VersionReport> Reports() const;
  void OnReports(const std::vector<origin::VersionReport>& reports);
  // The stored record of a service; all records were read; and whether the
  // record that was to be stored was.
  void OnRecordRead(const origin::VersionRecord& record);
  void OnRecordsRead();
  void OnRecordWritten(const origin::VersionRecord& record, bool written);
  void OnStoreReturned() { this->recorder.OnStoreReturned(); }

  // Call it every 100 ms or so.
  void Sweep();

  std::size_t size() const { return this->ledger.size(); }

 private:
  Instant Now() const { return this->options.hooks.now(); }
  bool HasStreams(const EndpointRecord& record) const;
  // Whether the origins of this service's streams are told to peers: unless all
  // know that it has only one version.
  bool Announced(origin::ServiceKey service) const;
  void AnnounceIfNeeded();
  bool ConfirmedLately() const;
  // Whether this process and these peers, which know neither the stream nor
  // endpoints that it does not know, are the majority of all processes. During
  // an outage of the store only this shows that no other version has joined.
  bool IsMajority(std::size_t agreeing) const;
  // The only version of the service that is known here.
  std::optional<origin::VersionKey> Sole(const ServiceName& service) const;

  const Options options;
  origin::StreamLedger ledger{{}};
  origin::VersionHistory history;
  origin::VersionRecorder recorder;
  origin::OriginDirectory directory;
  std::set<origin::ServiceKey> stream_services;  // of the configuration
  std::set<origin::ServiceKey> announced;
  const Instant started_at;
  Instant confirmed_at{};
  std::optional<std::size_t> peers;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_STREAM_ORIGINS_H_
