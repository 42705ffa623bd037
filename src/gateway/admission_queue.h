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

// Who goes first among those that wait.
enum class TicketRank {
  kResumed,  // computed for already, and lost its place
  kOnTime,   // can still meet its objective
  kLate,     // spent its objective on earlier tries
};
inline constexpr EnumNames<TicketRank, 3> kTicketRankNames = {
    {{TicketRank::kResumed, "resumed"},
     {TicketRank::kOnTime, "on_time"},
     {TicketRank::kLate, "late"}}};

// The generations of one service that wait here for decode memory.
//
// Load pattern: a burst offers more than the pool ends, for some seconds. With
// a queue as long as the burst, everybody who waits is late, and being late is
// worth a fifth; with requests dropped from the queue, time was spent on
// nothing. So one who cannot begin soon is turned away on arrival, while that
// costs its caller nothing, and told when to come back; one who is let in is
// served, in order of arrival whatever its size, or large ones would starve.
// Not thread safe.
class AdmissionQueue {
 public:
  struct Options {
    // A stream's time in a decode endpoint until the first have ended.
    Duration first_hold = 3500ms;
    // Weight of the newest hold.
    double hold_weight = 0.05;
    // The longest expected wait that is let in. What waits longer loses its
    // turn to newcomers at other processes, and its caller leaves.
    Duration max_wait = 50ms;
    // The same for those who are late already.
    Duration max_late_wait = 50ms;
    // Least and greatest time after which a refused caller is asked back, also
    // as shares of the time that it has left. One that comes back sooner meets
    // the same burst, and takes its place from another who could be in time;
    // its deadline must also tell it from a first try (GatewayCore). Callers do
    // not wait longer than the greatest, and one that comes back with less
    // could not be served to its end.
    Duration min_retry = 300ms;
    double min_retry_share = 0.2;
    Duration max_retry = 10s;
    double max_retry_share = 0.33;
    // Share of what is freed that is set against the callers who will return:
    // the rest is for first tries. With more, those asked back meet others.
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

  // Whether somebody waits who goes before this newcomer.
  bool AnyAheadOf(const Ticket& ticket) const;

  // Decides on a newcomer for whom there is no place now.
  Decision CheckAdmission(const Ticket& ticket) const;

  void Push(const Ticket& ticket);
  // True when it was in the queue.
  bool Remove(TicketId ticket);

  // Who is next; null: nobody waits.
  const Ticket* Front() const;
  std::vector<TicketId> Expired(Instant now) const;

  // Memory was given to a request of this process, and given back.
  void NoteAllocated(std::uint64_t kv_tokens);
  void NoteReleased(std::uint64_t kv_tokens, Duration held);

  // How long until `kv_tokens` are given back here, at the rate of late.
  Duration TimeToFree(std::uint64_t kv_tokens) const;

  // When a refused caller is asked back. Callers are given turns one after the
  // other, as if they stood in a queue outside; else all who were refused in a
  // burst would come back as another.
  // `time_left`: of that caller.
  Duration NextRetryDelay(std::uint64_t kv_tokens,
                          Duration time_left,
                          Instant now,
                          RandomSource& random);

  std::size_t size() const { return this->tickets.size(); }
  std::uint64_t waiting_tokens() const { return this->waiting; }

 private:
  const Options options;
  std::deque<Ticket> tickets;  // in the order in which they are served
  std::uint64_t waiting = 0;
  std::uint64_t taken = 0;
  Duration hold;
  Instant next_retry{};
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ADMISSION_QUEUE_H_
