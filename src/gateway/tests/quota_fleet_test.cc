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

// Large fleets take long to play.
std::uint64_t SeedsOf(const QuotaCase& row) {
  return row.processes > 50 ? 5 : 10;
}

std::string NameOfCase(const QuotaCase& row) {
  return row.name;
}

// As the users judge it: what was taken in any window, at all processes.
void KeepsTheBound(const QuotaCase& row) {
  for (std::uint64_t seed = 1; seed <= SeedsOf(row); ++seed) {
    QuotaCase seeded = row;
    seeded.seed = seed;
    QuotaFleet fleet(seeded, LedgerStrategy());
    fleet.Run();
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                           fleet.fullest_window() <= 1);
  }
}

double WronglyRefused(const QuotaCase& row) {
  double refused = 0;
  for (std::uint64_t seed = 1; seed <= SeedsOf(row); ++seed) {
    QuotaCase seeded = row;
    seeded.seed = seed;
    QuotaFleet fleet(seeded, LedgerStrategy());
    fleet.Run();
    refused += fleet.wrongly_refused();
  }
  return refused / static_cast<double>(SeedsOf(row));
}

const std::vector<QuotaCase> kInTouch = {
    {.name = "steady"},
    {.name = "through two processes", .reached_processes = 2},
    {.name = "at five processes", .processes = 5},
    {.name = "at 103 processes", .processes = 103, .domains = 6},
    {.name = "beside lossy links", .loss_share = 0.3},
};

const std::vector<QuotaCase> kBeyond = {
    {.name = "at three times its usual", .burst_factor = 3},
    {.name = "at eight times its usual", .burst_factor = 8},
    {.name = "through two processes",
     .reached_processes = 2,
     .burst_factor = 8},
    {.name = "at 103 processes",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8},
    {.name = "beside lossy links", .burst_factor = 8, .loss_share = 0.3},
    {.name = "whose limit is lowered",
     .burst_factor = 3,
     .lowered_factor = 0.3},
    {.name = "with half of the processes cut off",
     .burst_factor = 8,
     .cut_share = 0.5},
    {.name = "with each process cut off", .burst_factor = 8, .cut_share = 1},
    // Guards against: each of many parts lends itself a whole request.
    {.name = "with half of 103 processes cut off",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .cut_share = 0.5},
    {.name = "with each of 103 processes cut off",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .cut_share = 1},
    {.name = "when 103 processes start anew",
     .processes = 103,
     .domains = 6,
     .burst_factor = 8,
     .all_restart = true},
    {.name = "when all start anew", .burst_factor = 8, .all_restart = true},
    {.name = "when one after the other starts anew",
     .burst_factor = 8,
     .roll_restart = true},
    {.name = "cut off, lossy and starting anew, with its limit lowered",
     .burst_factor = 8,
     .lowered_factor = 0.5,
     .loss_share = 0.2,
     .cut_share = 0.35,
     .roll_restart = true},
};

const acacialug::testing::Story kStory(
    "a customer whose requests reach many gateways",
    {ForEach<QuotaCase>("within its limit is not refused, ",
                        kInTouch,
                        NameOfCase,
                        [](const QuotaCase& row) {
                          CPPUNIT_ASSERT(WronglyRefused(row) <= 0.005);
                        }),
     ForEach<QuotaCase>("beyond its limit gets no more than it, ",
                        kBeyond,
                        NameOfCase,
                        KeepsTheBound)});

}  // namespace
}  // namespace acacialug::gateway
