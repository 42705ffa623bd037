#ifndef GATEWAY_LEADER_TERM_H_
#define GATEWAY_LEADER_TERM_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// A turn that the store granted: one process at a time holds the newest.
struct TermGrant {
  std::uint64_t fencing_token = 0;  // rises with each grant, over restarts too
  bool after_another = false;       // the turn before was another process's
};

// When this process may give orders to endpoints. Two processes that order the
// same endpoint would undo each other's orders, and endpoints here do not check
// fencing numbers. So only the first of those alive claims, each batch of
// orders needs a new claim that the store grants only to who knows the newest,
// and one who takes over waits until an order of the holder before, sent just
// before it lost the turn, has arrived. Not thread safe.
class LeaderTerm {
 public:
  struct Options {
    // A process must be the first for so long before it claims: a peer that
    // missed some datagrams is still the holder.
    Duration first_for = 3s;
    // After another holder: its lease, and what an order may be on its way.
    Duration pause = 4s;
    // Between two claims.
    Duration interval = 2s;
  };

  explicit LeaderTerm(Options term_options) : options(term_options) {}

  // Whether this process is the first of those that it hears, itself included.
  void SetFirst(bool first, Instant now);

  // Whether to ask the store for a turn now.
  bool MayAcquire(Instant now) const;
  void NoteAcquiring(Instant now);
  // The store's answer; empty: not granted. Returns the fence to order with
  // now; empty: not yet.
  std::optional<std::uint64_t> OnGrant(std::optional<TermGrant> grant,
                                       Instant now);

 private:
  const Options options;
  Instant first_since = kNever;
  Instant acquiring_since{};
  Instant orders_from{};
  bool holds = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_LEADER_TERM_H_
