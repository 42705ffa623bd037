// Compares strategies that enforce one limit over many processes, on the same
// loads and seeds, and prints a table: the share of the tokens within the limit
// that were refused, the fullest window as a share of what is allowed, and the
// bytes that the processes report to each other.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "gateway/tests/quota_fleet.h"

namespace acacialug::gateway::testing {
namespace {

using NamedStrategy = std::pair<const char*, QuotaFleet::MakeStrategy>;

std::vector<NamedStrategy> Strategies() {
  return {{"ledger", LedgerStrategy()},
          {"reports", ReportsStrategy()},
          {"even split", EvenSplitStrategy()},
          {"by demand", DemandStrategy()},
          {"home", HomeProcessStrategy()}};
}

std::vector<QuotaCase> Cases(std::size_t processes) {
  std::vector<QuotaCase> cases = {
      {.name = "steady"},
      {.name = "through two", .reached_processes = 2},
      {.name = "hot x8", .burst_factor = 8},
      {.name = "hot x8 through two", .reached_processes = 2, .burst_factor = 8},
      {.name = "limit lowered to 0.3",
       .burst_factor = 3,
       .lowered_factor = 0.3},
      {.name = "steady, 0.35 cut off", .isolated_share = 0.35},
      {.name = "hot x8, half cut off",
       .burst_factor = 8,
       .isolated_share = 0.5},
      {.name = "hot x8, all cut off", .burst_factor = 8, .isolated_share = 1},
      {.name = "steady, all start anew", .all_restart = true},
      {.name = "hot x8, all start anew",
       .burst_factor = 8,
       .all_restart = true},
      {.name = "steady, one by one anew", .roll_restart = true}};
  for (QuotaCase& each : cases) {
    each.processes = processes;
    each.domains = std::min<std::size_t>(processes, 6);
  }
  return cases;
}

void Compare(const QuotaCase& quota_case,
             const NamedStrategy& strategy,
             std::uint64_t seeds) {
  double refused = 0;
  double fullest = 0;
  double reported = 0;
  std::uint64_t over_bound = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    QuotaCase seeded = quota_case;
    seeded.seed = seed;
    QuotaFleet fleet(seeded, strategy.second);
    fleet.Run();
    refused += fleet.wrongly_refused();
    reported += fleet.reported_bytes_per_second();
    over_bound += fleet.fullest_window() > 1 ? 1 : 0;
    fullest = std::max(fullest, fleet.fullest_window());
  }
  const auto runs = static_cast<double>(seeds);
  std::printf("| %zu | %s | %s | %.4f | %.2f | %llu of %llu | %.0f |\n",
              quota_case.processes, quota_case.name.c_str(), strategy.first,
              refused / runs, fullest,
              static_cast<unsigned long long>(over_bound),
              static_cast<unsigned long long>(seeds), reported / runs);
}

}  // namespace
}  // namespace acacialug::gateway::testing

// usage: quota_strategies_bench [PROCESSES [SEEDS]]
int main(int argc, char** argv) {
  using namespace acacialug::gateway::testing;
  const std::size_t processes = argc > 1 ? std::stoul(argv[1]) : 26;
  const std::uint64_t seeds = argc > 2 ? std::stoul(argv[2]) : 20;
  std::printf(
      "| processes | load | way | refused within the limit | fullest window | "
      "runs over the bound | bytes told a second and process |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const QuotaCase& quota_case : Cases(processes)) {
    for (const NamedStrategy& strategy : Strategies()) {
      Compare(quota_case, strategy, seeds);
    }
  }
  return 0;
}
