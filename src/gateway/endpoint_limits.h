#ifndef GATEWAY_ENDPOINT_LIMITS_H_
#define GATEWAY_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_limit_report.h"

namespace acacialug::gateway {

// Keeps the limits that endpoints name in their answers, each over all
// processes together. A limit may be lower than the number of processes, so
// that it cannot be divided among all of them: rendezvous hashing selects the
// holders, as many as the permitted burst has requests, and each holder has a
// token bucket with an even share. Processes agree on the holders without
// messages of their own; the knowledge of limits is spread by heartbeats, where
// the newest answer counts. A process that disagrees for a moment, since it has
// just started or is cut off, adds its share at most. Not thread safe; `now`
// never decreases.
class EndpointLimits {
 public:
  // Requests that all holders may send at once, beside the rate: this number
  // plus the requests of half a second. Endpoints tolerate twice as much.
  static constexpr double kBurst = 3;
  static constexpr Duration kBurstTime = 500ms;
  // An endpoint with a lower limit is still sent this many requests per second:
  // only its answers show when the limit ends.
  static constexpr double kMinRate = 0.25;
  // A process that was heard within this time keeps its share: it may be cut
  // off and still running.
  static constexpr Duration kPeerRetention = 60s;
  // The same for a process that is only listed: it may have just started.
  static constexpr Duration kListedRetention = 5s;
  // A limit without an answer for this long is dropped.
  static constexpr Duration kRetention = 10min;
  // How long the end of a limit is reported to peers, and kept to distinguish
  // older reports of the limit.
  static constexpr Duration kEndRetention = 30s;
  static constexpr std::size_t kMaxEndpoints = 1024;

  // `process_id`: of this process, as its peers know it.
  explicit EndpointLimits(const std::string& process_id);

  // A peer that sent a heartbeat, or that is listed as a member.
  void OnPeerHeartbeat(const std::string& peer, Instant now);
  void OnPeerListed(const std::string& peer, Instant now);

  // An answer of the endpoint names a limit. Returns whether the limit changed.
  // Precondition: max_rate >= 0.
  bool NoteLimit(std::uint64_t endpoint_key, double max_rate, Instant now);
  // An answer to a request that was sent at `sent_at` names no limit. It ends
  // only a limit that was named before: answers may arrive late and out of
  // order. Returns whether the limit changed. Precondition: sent_at <= now.
  bool NoteNoLimit(std::uint64_t endpoint_key, Instant sent_at, Instant now);
  // The same by a peer's report. A report that is older than what is known, or
  // that is invalid, changes nothing.
  bool Merge(const EndpointLimitReport& report, Instant now);
  // The endpoint restarted under its id: earlier answers don't count.
  void Forget(std::uint64_t endpoint_key, Instant now);

  // Whether this process may now place a request that takes so many messages at
  // the endpoint. Precondition: messages > 0.
  bool Allows(std::uint64_t endpoint_key, std::uint32_t messages, Instant now);
  // Counts a message to the endpoint, whether it was allowed or not.
  void NoteSent(std::uint64_t endpoint_key);

  // Empty: no limit is known.
  std::optional<double> MaxRate(std::uint64_t endpoint_key) const;

  // At most `max_count` reports for peers. When there are more, each `round`
  // returns the next ones.
  std::vector<EndpointLimitReport> CollectReports(std::size_t max_count,
                                                  std::size_t round,
                                                  Instant now) const;

  // Drops expired peers and limits. Call periodically.
  void Sweep(Instant now);

  // The number of endpoints with a limit.
  std::size_t size() const;

 private:
  struct Entry {
    std::optional<double> max_rate;
    Instant shown_at{};  // answer with the limit, or request without it
    Instant ended_at{};  // when this process learned that it had ended
    double tokens = std::numeric_limits<double>::max();  // full at first
    Instant refilled_at{};
  };
  struct Member {
    std::uint64_t key = 0;
    Instant until{};
  };
  // The share of this process; no tokens if it is not a holder.
  struct Share {
    double rate = 0;
    double capacity = 0;
  };

  void AddMember(const std::string& peer, Instant until);
  // Returns whether the limit changed.
  bool Update(std::uint64_t endpoint_key,
              std::optional<double> max_rate,
              Instant shown_at,
              Instant now);
  Share ShareOf(std::uint64_t endpoint_key,
                double max_rate,
                std::uint32_t messages) const;

  const std::uint64_t own_key;
  std::map<std::string, Member> members;  // peers
  std::map<std::uint64_t, Entry> entries;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_LIMITS_H_
