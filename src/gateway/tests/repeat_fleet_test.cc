#include "gateway/tests/repeat_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/tests/fleet_cases.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::AtSizes;
using testing::RepeatCase;
using testing::RepeatFleet;
using testing::WithSeeds;

std::string Describe(const RepeatFleet& fleet) {
  std::string text;
  for (const auto& [step, count] : fleet.repeats_by_message()) {
    text += std::to_string(count) + " " + step + ", ";
  }
  return text + "fullest window " + std::to_string(fleet.fullest_window()) +
         ", served " + std::to_string(fleet.served_share());
}

// Each of the cases stays within the bound.
void CheckBound(const std::vector<RepeatCase>& cases) {
  std::string broken;
  for (const RepeatCase& repeat_case : cases) {
    RepeatFleet fleet(repeat_case);
    fleet.Run();
    if (fleet.fullest_window() > 1) {
      broken += repeat_case.name + ": " + Describe(fleet) + "; ";
    }
  }
  CPPUNIT_ASSERT_EQUAL(std::string(), broken);
}

const std::vector<std::size_t> kSizes = {5, 12, 24, 28, 103};

// Guards against repeats that the budget does not cover.
const acacialug::testing::Story kRepeats(
    "repeats at all gateways stay within their bound",
    {It("while a third of prefills and runs are rejected",
        [] { CheckBound(AtSizes(kSizes, RepeatCase{.reject_share = 0.33})); }),
     It("while half are rejected in a burst, answers are lost, gateways are "
        "killed and endpoints get busy",
        [] {
          CheckBound(WithSeeds(4, RepeatCase{.processes = 28,
                                             .duration = 26s,
                                             .burst_factor = 1.6,
                                             .trouble = {4s, 16s},
                                             .reject_share = 0.3,
                                             .lose_share = 0.3,
                                             .busy = {14s, 18s},
                                             .kill_share = 0.6,
                                             .kills = {9s}}));
        }),
     It("while a third are rejected and all gateways are killed twice",
        [] {
          CheckBound(AtSizes(kSizes, RepeatCase{.requests_per_second = 1,
                                                .reject_share = 0.33,
                                                .kill_share = 1,
                                                .kills = {6s, 9s}}));
        }),
     It("while gateways receive nothing from each other", [] {
       CheckBound(AtSizes(kSizes, RepeatCase{.requests_per_second = 2,
                                             .lose_share = 0.6,
                                             .isolated = true}));
     })});

}  // namespace
}  // namespace acacialug::gateway
