#ifndef GATEWAY_LEVEL_CHOICE_H_
#define GATEWAY_LEVEL_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/global/random_source.h"

namespace acacialug::gateway {

// Chooses among `loads` by news that are old, when `unseen` more has been
// placed there by others since: each place is taken with a probability in
// proportion to what it lacks to the level at which `unseen` would fill the
// lowest ones up.
//
// Load pattern: many processes place at one pool and hear of each other's
// placements late. By the least load alone all of them choose the same few
// places until the next news, which are then the fullest, while those that look
// a little fuller stay idle. With nothing unseen this is the least load, and
// with news older than the work a choice at random.
//
// M. Dahlin, "Interpreting Stale Load Information", IEEE Transactions on
// Parallel and Distributed Systems 11 (2000), "Basic LI".
//
// Loads and `unseen` have one unit. Empty when `loads` is. Precondition:
// unseen >= 0. Thread safe, but for `random`.
std::optional<std::size_t> ChooseByLevel(const std::vector<double>& loads,
                                         double unseen,
                                         RandomSource& random);

}  // namespace acacialug::gateway

#endif  // GATEWAY_LEVEL_CHOICE_H_
