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

// Which endpoints of a pool have asked, in which order, to be taken out of
// service, and have not served again since: a pure function of the pool's
// stream, so that every reader agrees. There is no clock in it. A claim that
// stands stays until its endpoint serves again: an endpoint whose agent died
// in its turn does not serve, and others must not go out in its place.
//
// Claims before one's own can only become fewer. So a reader that lags never
// takes a turn that a reader of more records would deny it.
//
// An endpoint has one open claim at most; a further one counts for nothing. A
// claim that was closed stays closed, so that an append whose answer was lost
// may be repeated, and one that arrives late does no harm. Not thread safe.
class MaintenanceQueue {
 public:
  struct Claim {
    EndpointId endpoint;
    std::uint64_t id = 0;
    LogOffset since;   // its place in the order
    LogOffset newest;  // the newest record that repeats it
  };

  // Applies the record at `offset`; an offset already applied is ignored, and
  // so are bytes that are no record. Precondition: no record between was left
  // out.
  void Apply(LogOffset offset, const std::string& payload);

  // Null when the endpoint has none. Valid until the next Apply.
  const Claim* OpenClaimOf(const EndpointId& endpoint) const;

  // How many other members of the pool asked before the endpoint, and do not
  // serve again yet; empty when it has no open claim.
  std::optional<std::size_t> RankOf(const EndpointId& endpoint,
                                    const std::set<EndpointId>& members) const;

  // The endpoint released this claim. Only its newest few are known.
  bool IsClosed(const EndpointId& endpoint, std::uint64_t id) const;

  // In their order.
  const std::map<LogOffset, Claim>& open() const { return this->claims; }
  LogOffset applied_through() const { return this->through; }

 private:
  static constexpr std::size_t kClosedKept = 4;  // of an endpoint

  void Open(LogOffset offset, const MaintenanceRecord& record);
  void Close(const MaintenanceRecord& record);

  std::map<LogOffset, Claim> claims;            // by `since`
  std::map<EndpointId, LogOffset> by_endpoint;  // its open claim's `since`
  std::map<EndpointId, std::deque<std::uint64_t>> closed;
  LogOffset through;
};

}  // namespace acacialug::maintenance

#endif  // MAINTENANCE_MAINTENANCE_QUEUE_H_
