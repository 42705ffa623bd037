#include "gateway/tests/quota_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using testing::LedgerStrategy;
using testing::QuotaCase;
using testing::QuotaFleet;

// Large fleets take long to simulate, so they run with fewer seeds.
std::uint64_t SeedCount(const QuotaCase& row) {
  return row.processes > 50 ? 5 : 10;
}

std::string CaseName(const QuotaCase& row) {
  return row.name;
}

// Checks the users' bound: the tokens taken in any window, at all processes.
void CheckBound(const QuotaCase& row) {
  for (std::uint64_t seed = 1; seed <= SeedCount(row); ++seed) {
    QuotaCase seeded = row;
    seeded.seed = seed;
    QuotaFleet fleet(seeded, LedgerStrategy());
    fleet.Run();
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                           fleet.fullest_window() <= 1);
  }
}

double MeanWronglyRefused(const QuotaCase& row) {
  double refused = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount(row); ++seed) {
    QuotaCase seeded = row;
    seeded.seed = seed;
    QuotaFleet fleet(seeded, LedgerStrategy());
    fleet.Run();
    refused += fleet.wrongly_refused();
  }
  return refused / static_cast<double>(SeedCount(row));
}

const std::vector<QuotaCase> kWithinLimit = {
    {.name = "steady"},
    {.name = "through two processes", .reached_processes = 2},
    {.name = "at five processes", .processes = 5},
    {.name = "at 103 processes", .processes = 103, .domains = 6},
    {.name = "with lossy links", .loss_share = 0.3},
};

const std::vector<QuotaCase> kBeyondLimit = {
    {.name = "at three times its usual", .burst_factor = 3},
    {.name = "at eight times its usual", .burst_factor = 8},
    {.name = "through two processes",
     .reached_processes = 2,
     .burst_factor = 8},
    {.name = "at 103 processes",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8},
    {.name = "with lossy links", .burst_factor = 8, .loss_share = 0.3},
    {.name = "whose limit is lowered",
     .burst_factor = 3,
     .lowered_factor = 0.3},
    {.name = "with half of the processes isolated",
     .burst_factor = 8,
     .isolated_share = 0.5},
    {.name = "with each process isolated",
     .burst_factor = 8,
     .isolated_share = 1},
    // Guards against an overshoot when each of many shares goes into debt by a
    // whole request.
    {.name = "with half of 103 processes isolated",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .isolated_share = 0.5},
    {.name = "with each of 103 processes isolated",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .isolated_share = 1},
    {.name = "when 103 processes restart",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .all_restart = true},
    {.name = "when all restart", .burst_factor = 8, .all_restart = true},
    {.name = "when one after the other restarts",
     .burst_factor = 8,
     .roll_restart = true},
    {.name = "with isolation, loss and restarts, and its limit lowered",
     .burst_factor = 8,
     .lowered_factor = 0.5,
     .loss_share = 0.2,
     .isolated_share = 0.35,
     .roll_restart = true},
};

const acacialug::testing::Story kStory(
    "a customer whose requests reach many gateways",
    {ForEach<QuotaCase>("within its limit is not refused",
                        kWithinLimit,
                        CaseName,
                        [](const QuotaCase& row) {
                          CPPUNIT_ASSERT(MeanWronglyRefused(row) <= 0.005);
                        }),
     ForEach<QuotaCase>("beyond its limit gets no more than it",
                        kBeyondLimit,
                        CaseName,
                        CheckBound)});

}  // namespace
}  // namespace acacialug::gateway
