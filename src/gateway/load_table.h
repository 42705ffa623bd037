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

// What is placed at each endpoint: by this process, exactly, and by its peers
// as they last told. Endpoints' own reports are 0.9 s old and do not have the
// work on its way to them; several entries that place by such reports all
// choose the same endpoint. Not thread safe.
class LoadTable {
 public:
  enum class Nearness {
    kNear,  // in this process's failure domain
    kFar,
  };

  // A peer that has been silent for this long may be gone with its work. Some
  // ten lost datagrams, and under a stream's length.
  static constexpr Duration kPeerMemory = 1500ms;

  // `on_own_change`, unless empty, runs at each change of this process's own.
  explicit LoadTable(std::function<void()> on_own_change = {})
      : own_change(std::move(on_own_change)) {}

  // `started_at_ms`: of the endpoint's start that the work was placed at.
  void Add(const EndpointId& endpoint,
           const EndpointLoad& load,
           std::int64_t started_at_ms = 0);
  // Precondition: was added. No effect when that start is over: its load went
  // with it, and what is in the book is the next one's.
  void Remove(const EndpointId& endpoint,
              const EndpointLoad& load,
              std::int64_t started_at_ms = 0);
  // It started again under its id, and holds nothing of before.
  void Forget(const EndpointId& endpoint);

  // Replaces what this peer told before.
  void SetPeer(const std::string& peer, const PeerLoad& load, Instant now);
  void Sweep(Instant now);

  // All processes' work at an endpoint. Costs the same for any number of peers.
  EndpointLoad TotalAt(const EndpointId& endpoint) const;
  // How old what peers told is, in the mean; zero without such peers. What they
  // placed and ended since is not in the book.
  Duration ReportAge(Nearness from, Instant now) const;
  // Of the peer that was not heard for longest; zero without peers.
  Duration OldestReportAge(Instant now) const;
  // This process's only, for its peers.
  PeerLoad Own() const;
  std::size_t peers() const { return this->reported.size(); }

  static std::uint64_t KeyOf(const EndpointId& endpoint);

 private:
  struct Reported {
    std::unordered_map<std::uint64_t, EndpointLoad> loads;
    Instant at;
    bool near = false;
  };

  struct Placed {
    EndpointLoad load;
    std::int64_t started_at_ms = 0;
  };

  void NotifyChange() const;
  void AddTotal(std::uint64_t key, const EndpointLoad& load);
  void TakeFromTotal(std::uint64_t key, const EndpointLoad& load);
  void DropReported(const Reported& peer);

  const std::function<void()> own_change;
  std::map<EndpointId, Placed> own_loads;
  std::map<std::string, Reported> reported;
  // Of `own_loads` and `reported` together. A placement looks at every
  // endpoint; summed at each look, its cost would be endpoints times peers.
  std::unordered_map<std::uint64_t, EndpointLoad> totals;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_LOAD_TABLE_H_
