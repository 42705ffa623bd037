#ifndef QUOTA_TYPES_QUOTA_USE_H_
#define QUOTA_TYPES_QUOTA_USE_H_

#include <cstdint>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::quota {

// Hash of the customer's name, equal in all processes.
using CustomerKey = Number<struct CustomerKeyTag>;

// Limit over all processes together, in the units in which usage is counted.
struct Quota {
  double per_second = 0;  // zero: no limit
  double burst = 0;

  friend bool operator==(const Quota&, const Quota&) = default;
};

// Permitted excess over each limit in any window: a fraction of the limit
// (`overshoot`) plus a number of its units (`spare`).
struct Tolerance {
  double overshoot = 0;
  double spare = 0;
};

// Usage of a customer's quota by one process, as reported to its peers.
struct QuotaUse {
  CustomerKey customer;
  // Number and age of the reporter's account, which is closed after a long idle
  // time of the customer.
  std::uint32_t account = 0;
  Duration age{};
  std::int64_t taken = 0;  // by the reporter, net of refunds
  double left = 0;         // for all processes
};

}  // namespace acacialug::quota

#endif  // QUOTA_TYPES_QUOTA_USE_H_
