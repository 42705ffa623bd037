#ifndef QUOTA_TYPES_QUOTA_USE_H_
#define QUOTA_TYPES_QUOTA_USE_H_

#include <cstdint>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::quota {

// A hash of the customer's name, the same at every process.
using CustomerKey = Number<struct CustomerKeyTag>;

// Of all processes together, in units of whoever counts.
struct Quota {
  double per_second = 0;  // zero: no limit
  double burst = 0;

  friend bool operator==(const Quota&, const Quota&) = default;
};

// What may be taken beyond each limit in any window: a share of it, and so many
// of its units.
struct Tolerance {
  double overshoot = 0;
  double spare = 0;
};

// What one process took of a customer's quota, for its peers.
struct QuotaUse {
  CustomerKey customer;
  // Of the teller's account, which is closed when the customer is idle for
  // long: the number of the account, and how long it is open.
  std::uint32_t account = 0;
  Duration age{};
  std::int64_t taken = 0;  // by the teller, less what was given back
  double left = 0;         // to all
};

}  // namespace acacialug::quota

#endif  // QUOTA_TYPES_QUOTA_USE_H_
