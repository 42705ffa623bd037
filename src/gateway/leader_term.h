#ifndef GATEWAY_LEADER_TERM_H_
#define GATEWAY_LEADER_TERM_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// A leader term that the store granted. One process at a time holds the newest.
struct TermGrant {
  // Rises by one with each grant to any process, across restarts.
  std::uint64_t fencing_token = 0;
  bool after_another = false;  // the last term was another process's
};

// Decides when this process may send orders to endpoints. Two processes that
// send orders to the same endpoint would undo each other's orders, and
// endpoints here do not check fencing tokens. So only the first of the live
// processes requests a term. Each batch of orders needs a new term, which the
// store grants only to a process that knows the newest term. A process that
// takes over waits until an order that the last holder sent just before it lost
// its term has arrived. Not thread safe.
class LeaderTerm {
 public:
  struct Options {
    // Time for which a process must be the first before it requests a term: a
    // peer whose datagrams were lost may still be the holder.
    Duration first_for = 3s;
    // Wait after another holder's term: its lease, and the time that an order
    // may be in transit.
    Duration pause = 4s;
    // Time between two requests for a term.
    Duration interval = 2s;
  };

  explicit LeaderTerm(Options term_options) : options(term_options) {}

  // Sets whether this process is the first of the live processes that it knows,
  // itself included.
  void SetFirst(bool first, Instant now);

  // The store returned from an older copy, and may have lost other processes'
  // terms, so that it no longer tells whose orders may be in transit.
  void NoteStoreReturned(Instant now);

  // Whether to request a term from the store now.
  bool MayAcquire(Instant now) const;
  void NoteAcquiring(Instant now);
  // Takes the store's answer; an empty `grant` means that it refused. Returns
  // the fencing token for orders, or empty if none may be sent yet.
  std::optional<std::uint64_t> OnGrant(std::optional<TermGrant> grant,
                                       Instant now);
  // Whether an order of the term with this token may still be sent: after each
  // wait, since another process may have taken over meanwhile.
  bool MayOrder(std::uint64_t fencing_token, Instant now) const;

 private:
  // Whether another process may have held a term since the last one of this
  // process that it knows.
  bool FollowsAnother(const TermGrant& grant) const;

  const Options options;
  Instant first_since = kNever;
  Instant acquiring_since{};
  Instant orders_from{};
  std::optional<std::uint64_t> granted;  // the newest token, in use or not
  std::optional<std::uint64_t> term;     // whose orders may be sent
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_LEADER_TERM_H_
