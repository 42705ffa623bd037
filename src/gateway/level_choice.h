#ifndef GATEWAY_LEVEL_CHOICE_H_
#define GATEWAY_LEVEL_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/global/random_source.h"

namespace acacialug::gateway {

// Chooses an index of `loads`, which are stale: other processes have placed
// another `unseen` of load since. Filling up the lowest loads with `unseen`
// gives a common level; the probability of an index is proportional to the
// amount by which its load is below that level.
//
// Load pattern: many processes place work in one pool and receive reports of
// each other's placements late. By the least load alone, all of them choose the
// same few endpoints until the next reports. These are then the fullest, while
// endpoints that look slightly fuller stay idle. With `unseen` at zero, the
// choice is the least load; with loads older than the work, it is random.
//
// M. Dahlin, "Interpreting Stale Load Information", IEEE Transactions on
// Parallel and Distributed Systems 11 (2000), "Basic LI".
//
// `loads` and `unseen` have the same unit. Returns empty if `loads` is empty.
// Precondition: unseen >= 0. Thread safe, except for `random`.
std::optional<std::size_t> ChooseByLevel(const std::vector<double>& loads,
                                         double unseen,
                                         RandomSource& random);

}  // namespace acacialug::gateway

#endif  // GATEWAY_LEVEL_CHOICE_H_
