#ifndef GATEWAY_ADMISSION_QUEUE_H_
#define GATEWAY_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::gateway {

using TicketId = std::uint64_t;

// The generations of one service that wait here for decode memory.
//
// Load pattern: a burst offers more than the pool ends, for some seconds. With
// a queue as long as the burst, everybody who waits is late, and being late is
// worth a fifth. So one who cannot begin in time is turned away on arrival,
// while turning away still costs the caller nothing, and told when the work
// ahead will be done; those who wait are served in order of arrival, whatever
// their size, or large ones would starve. Not thread safe.
class AdmissionQueue {
 public:
  struct Options {
    // A stream's time in a decode endpoint until the first have ended.
    Duration first_hold = 3500ms;
    // Weight of the newest hold.
    double hold_weight = 0.05;
    // How late a request may begin, beyond its objective, and still be let
    // wait. Zero: none that is known to be late waits.
    Duration lateness = Duration::zero();
    // Least and greatest time after which a refused caller is asked back.
    Duration least_retry = 300ms;
    Duration longest_retry = 4s;
  };

  struct Ticket {
    TicketId id = 0;
    std::uint32_t priority = 0;
    std::uint64_t kv_tokens = 0;
    Instant latest_start;  // to meet its objective
  };

  struct Verdict {
    bool admitted = true;
    Duration expected_wait{};
    Duration retry_after{};  // refused
  };

  explicit AdmissionQueue(Options queue_options);

  // Decides on a request for which there is no place now.
  Verdict Ask(const Ticket& ticket, Instant now) const;

  void Push(const Ticket& ticket);
  // Precondition: is in the queue. True when it was.
  bool Remove(TicketId ticket);

  // Who is next; null: nobody waits.
  const Ticket* Front() const;
  // Those who can no longer begin in time.
  std::vector<TicketId> TooLate(Instant now) const;

  // Memory was given to a request of this process, and given back.
  void NoteTaken(std::uint64_t kv_tokens);
  void NoteGiven(std::uint64_t kv_tokens, Duration held);

  // How long until `kv_tokens` are given back here, at the rate of late.
  Duration TimeToFree(std::uint64_t kv_tokens) const;
  Duration RetryAfter(std::uint64_t kv_tokens) const;

  std::size_t size() const { return this->tickets.size(); }
  std::uint64_t waiting_tokens() const { return this->waiting; }

 private:
  const Options options;
  // By priority, then by arrival.
  std::deque<Ticket> tickets;
  std::uint64_t waiting = 0;
  std::uint64_t taken = 0;
  Duration hold;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ADMISSION_QUEUE_H_
