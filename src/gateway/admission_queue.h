#ifndef GATEWAY_ADMISSION_QUEUE_H_
#define GATEWAY_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway {

using TicketId = std::uint64_t;

// The order in which waiting requests of the same priority are served.
enum class TicketRank {
  kResumed,  // was computed in part and lost its endpoint
  kOnTime,   // can still meet its objective
  kLate,     // used up its objective on earlier tries
};
inline constexpr EnumNames<TicketRank, 3> kTicketRankNames = {
    {{TicketRank::kResumed, "resumed"},
     {TicketRank::kOnTime, "on_time"},
     {TicketRank::kLate, "late"}}};

// The generations of one service that wait in this process for decode memory.
//
// Load pattern: for some seconds, a burst offers more work than the pool
// completes. With a queue as long as the burst, every waiting request is late,
// and a late answer is worth a fifth of one on time. A request that is dropped
// from the queue has waited for nothing. So a request that can't start soon is
// refused on arrival, when that costs its caller nothing, with a time after
// which to retry. An admitted request is served in order of arrival whatever
// its size, or large requests would starve. Not thread safe.
class AdmissionQueue {
 public:
  struct Options {
    // Time that a stream holds memory at a decode endpoint; used until the
    // first streams have ended.
    Duration first_hold = 3500ms;
    // Weight of the newest stream in the mean of that time.
    double hold_weight = 0.05;
    // Max expected wait of an admitted request. A request that waits longer
    // loses the capacity to new requests at other processes, and its caller
    // leaves.
    Duration max_wait = 50ms;
    // The same for requests that are late already.
    Duration max_late_wait = 50ms;
    // Min and max time after which a refused caller is to retry, also as shares
    // of the time that it has left. A caller that retries sooner meets the same
    // burst and takes capacity from a request that could be in time; its
    // deadline must also distinguish it from a first try (GatewayCore). Callers
    // don't wait longer than the max, and a request that is retried with less
    // time left could not be served to its end.
    Duration min_retry = 300ms;
    double min_retry_share = 0.2;
    Duration max_retry = 10s;
    double max_retry_share = 0.33;
    // Share of the freed memory that is planned for callers that will retry;
    // the rest is for first tries. With a larger share, a retry competes with
    // other requests.
    double return_share = 0.2;
  };

  struct Ticket {
    TicketId id = 0;
    std::uint32_t priority = 0;
    TicketRank rank = TicketRank::kOnTime;
    std::uint64_t kv_tokens = 0;
    Instant arrived;
    Instant expires_at = kNever;
  };

  struct Decision {
    bool admitted = true;
    Duration expected_wait{};
  };

  explicit AdmissionQueue(Options queue_options);

  // Whether a waiting request is to be served before this new one.
  bool AnyAheadOf(const Ticket& ticket) const;

  // Decides on a new request for which there is no capacity now.
  Decision CheckAdmission(const Ticket& ticket) const;

  void Push(const Ticket& ticket);
  // Returns whether it was in the queue.
  bool Remove(TicketId ticket);

  // The request to serve next; null if none waits.
  const Ticket* Front() const;
  std::vector<TicketId> Expired(Instant now) const;

  // Memory was allocated to a request of this process, or released by one
  // after `held`.
  void NoteAllocated(std::uint64_t kv_tokens);
  void NoteReleased(std::uint64_t kv_tokens, Duration held);

  // Time until requests of this process release `kv_tokens`, at the recent
  // rate.
  Duration TimeToFree(std::uint64_t kv_tokens) const;

  // Time after which a refused caller is to retry. Retries are scheduled one
  // after the other, as in a queue; otherwise all callers that were refused in
  // a burst would retry in another burst.
  // `time_left`: until that caller's deadline.
  Duration NextRetryDelay(std::uint64_t kv_tokens,
                          Duration time_left,
                          Instant now,
                          RandomSource& random);

  std::size_t size() const { return this->tickets.size(); }
  std::uint64_t waiting_tokens() const { return this->waiting_kv_tokens; }

 private:
  const Options options;
  std::deque<Ticket> tickets;  // in the order in which they are served
  std::uint64_t waiting_kv_tokens = 0;
  std::uint64_t allocated_kv_tokens = 0;
  Duration mean_hold;
  Instant next_retry{};
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ADMISSION_QUEUE_H_
