#ifndef MAINTENANCE_MAINTENANCE_QUEUE_H_
#define MAINTENANCE_MAINTENANCE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "framework/global/types/identifiers.h"
#include "maintenance/types/maintenance_record.h"

namespace acacialug::maintenance {

// The endpoints of a pool that have requested to be taken out of service and
// have not served since, in the order of their requests. The queue is a pure
// function of the pool's log stream, so that all readers agree; it uses no
// clock. An open claim stays open until its endpoint serves again: an endpoint
// whose agent died while it was out of service does not serve, and no other
// endpoint may leave service in its place.
//
// The number of claims before a given claim never grows. A reader that lags
// therefore never permits what a reader of more records would refuse.
//
// An endpoint has at most one open claim; further claims are ignored. A closed
// claim stays closed, so that an append whose answer was lost can be repeated,
// and an append that takes effect late does no harm. Not thread safe.
class MaintenanceQueue {
 public:
  struct Claim {
    EndpointId endpoint;
    std::uint64_t id = 0;
    LogOffset since;   // determines its position in the queue
    LogOffset newest;  // of the newest record that repeats the claim
  };

  // Applies the record at `offset`. Ignores an offset that was applied before
  // and a payload that is not a valid record. Precondition: the caller applies
  // all records in order, without gaps.
  void Apply(LogOffset offset, const std::string& payload);

  // Null when the endpoint has no open claim. Valid until the next Apply.
  const Claim* OpenClaimOf(const EndpointId& endpoint) const;

  // The number of other members of the pool whose open claims stand before the
  // endpoint's; empty when the endpoint has no open claim.
  std::optional<std::size_t> RankOf(const EndpointId& endpoint,
                                    const std::set<EndpointId>& members) const;

  // Whether the endpoint released this claim. Only the newest kClosedKept
  // releases of each endpoint are known.
  bool IsClosed(const EndpointId& endpoint, std::uint64_t id) const;

  // Open claims in queue order.
  const std::map<LogOffset, Claim>& open() const { return this->claims; }
  LogOffset applied_through() const { return this->through; }

 private:
  static constexpr std::size_t kClosedKept = 4;  // per endpoint

  void Open(LogOffset offset, const MaintenanceRecord& record);
  void Close(const MaintenanceRecord& record);

  std::map<LogOffset, Claim> claims;            // by `since`
  std::map<EndpointId, LogOffset> by_endpoint;  // `since` of its open claim
  std::map<EndpointId, std::deque<std::uint64_t>> closed;
  LogOffset through;
};

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_MAINTENANCE_QUEUE_H_
