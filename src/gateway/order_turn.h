#ifndef GATEWAY_ORDER_TURN_H_
#define GATEWAY_ORDER_TURN_H_

#include <cstdint>
#include <optional>

#include "framework/global/types/instant.h"

namespace acacialug::gateway {

// A turn that the store granted: one process at a time holds the newest.
struct TurnClaim {
  std::uint64_t fence = 0;     // rises with each grant, over restarts too
  bool after_another = false;  // the turn before was another process's
};

// When this process may give orders to endpoints. Two processes that order the
// same endpoint would undo each other's orders, and endpoints here do not check
// fencing numbers. So only the first of those alive claims, each batch of
// orders needs a new claim that the store grants only to who knows the newest,
// and one who takes over waits until an order of the holder before, sent just
// before it lost the turn, has arrived. Not thread safe.
class OrderTurn {
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

  explicit OrderTurn(Options turn_options) : options(turn_options) {}

  // Whether this process is the first of those that it hears, itself included.
  void SetFirst(bool first, Instant now);

  // Whether to ask the store for a turn now.
  bool MayClaim(Instant now) const;
  void NoteClaiming(Instant now);
  // The store's answer; empty: not granted. Returns the fence to order with
  // now; empty: not yet.
  std::optional<std::uint64_t> OnClaim(std::optional<TurnClaim> claim,
                                       Instant now);

 private:
  const Options options;
  Instant first_since = kNever;
  Instant claimed_at{};
  Instant orders_from{};
  bool holds = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ORDER_TURN_H_
