#ifndef GATEWAY_LOAD_TABLE_H_
#define GATEWAY_LOAD_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_load.h"

namespace acacialug::gateway {

// The load that is placed at each endpoint: exact for this process, and as last
// reported for its peers. Endpoints' own reports are 0.9 s old and do not
// include work in transit to them; several entries that place by such reports
// all choose the same endpoint. Not thread safe.
class LoadTable {
 public:
  enum class Nearness {
    kNear,  // in this process's failure domain
    kFar,
  };

  // A peer that has sent no report for this long may have ended with its work.
  // The time covers about ten lost datagrams, and is shorter than a stream.
  static constexpr Duration kPeerMemory = 1500ms;

  // `on_own_change`, unless empty, runs at each change of this process's load.
  explicit LoadTable(std::function<void()> on_own_change = {})
      : own_change_hook(std::move(on_own_change)) {}

  // `started_at_ms`: start time of the incarnation that got the work.
  void Add(const EndpointId& endpoint,
           const EndpointLoad& load,
           std::int64_t started_at_ms = 0);
  // Precondition: `load` was added. There is no effect after that incarnation's
  // end: its load was dropped with it, and the table has the load of the next.
  void Remove(const EndpointId& endpoint,
              const EndpointLoad& load,
              std::int64_t started_at_ms = 0);
  // The endpoint restarted under its id and holds no earlier work.
  void Forget(const EndpointId& endpoint);

  // Replaces the earlier report of this peer.
  void SetPeer(const std::string& peer, const PeerLoad& load, Instant now);
  void Sweep(Instant now);

  // All processes' work at an endpoint. The cost is independent of the number
  // of peers.
  EndpointLoad TotalAt(const EndpointId& endpoint) const;
  // Mean age of the peers' reports; zero without such peers. The work that they
  // placed or ended since is not in the table.
  Duration ReportAge(Nearness from, Instant now) const;
  // Age of the oldest of the peers' last reports; zero without peers.
  Duration OldestReportAge(Instant now) const;
  // The load of this process alone, for its peers.
  PeerLoad Own() const;
  std::size_t peers() const { return this->reported.size(); }

  static std::uint64_t KeyOf(const EndpointId& endpoint);

 private:
  struct Reported {
    std::unordered_map<std::uint64_t, EndpointLoad> loads;
    Instant received_at;
    bool near = false;
  };

  struct Placed {
    EndpointLoad load;
    std::int64_t started_at_ms = 0;
  };

  void NotifyChange() const;
  void AddTotal(std::uint64_t key, const EndpointLoad& load);
  void SubtractFromTotal(std::uint64_t key, const EndpointLoad& load);
  void DropReported(const Reported& peer);

  const std::function<void()> own_change_hook;
  std::map<EndpointId, Placed> own_loads;
  std::map<std::string, Reported> reported;
  // Sums of `own_loads` and `reported`. A placement reads the load of every
  // endpoint; with sums computed at each read, its cost would be the number of
  // endpoints times that of peers.
  std::unordered_map<std::uint64_t, EndpointLoad> totals;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_LOAD_TABLE_H_
