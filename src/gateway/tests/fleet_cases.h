#ifndef GATEWAY_TESTS_FLEET_CASES_H_
#define GATEWAY_TESTS_FLEET_CASES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acacialug::gateway::testing {

// The case with each of these numbers of gateways.
template <typename Case>
std::vector<Case> AtSizes(const std::vector<std::size_t>& sizes,
                          Case fleet_case) {
  std::vector<Case> cases;
  for (const std::size_t processes : sizes) {
    fleet_case.processes = processes;
    fleet_case.name = std::to_string(processes) + " gateways";
    cases.push_back(fleet_case);
  }
  return cases;
}

// The case with the seeds from 1 to `count`.
template <typename Case>
std::vector<Case> WithSeeds(std::uint64_t count, Case fleet_case) {
  std::vector<Case> cases;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    fleet_case.seed = seed;
    fleet_case.name = "seed " + std::to_string(seed);
    cases.push_back(fleet_case);
  }
  return cases;
}

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_FLEET_CASES_H_
