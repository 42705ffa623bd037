#include "gateway/tests/limit_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using testing::LimitCase;
using testing::LimitFleet;

const std::vector<LimitCase> kCases = {
    {.name = "5 gateways"},
    {.name = "28 gateways", .processes = 28, .demand = 60},
    {.name = "103 gateways", .processes = 103, .demand = 150},
    {.name = "5 gateways, below one request a second", .limit = 0.4},
    {.name = "103 gateways, below one request a second",
     .processes = 103,
     .limit = 0.4,
     .demand = 150},
    {.name = "5 gateways, if it is zero", .limit = 0},
    {.name = "28 gateways, if it is above the demand",
     .processes = 28,
     .limit = 400,
     .demand = 60},
    {.name = "5 gateways, in a burst", .limit = 20, .demand = 200},
    {.name = "5 gateways, if all endpoints name one", .all_limited = true},
    {.name = "5 gateways, one of which learns it late", .late_learner = true},
    {.name = "5 gateways, one of which restarts", .restart = true},
    {.name = "5 gateways, one of which is cut off", .cut = true},
    {.name = "28 gateways, one of which is cut off",
     .processes = 28,
     .demand = 60,
     .cut = true},
    {.name = "5 gateways, one of which stalls with answers unread",
     .demand = 60,
     .path = "/stream/a",
     .limited = "f0",
     .stall = true},
    {.name = "28 gateways, one of which stalls with answers unread",
     .processes = 28,
     .demand = 300,
     .path = "/stream/a",
     .limited = "f0",
     .stall = true},
    {.name = "28 gateways that lose heartbeats",
     .processes = 28,
     .demand = 60,
     .loss_share = 0.3},
    {.name = "5 gateways, for generations",
     .path = "/stream/a",
     .limited = "d0"},
    {.name = "28 gateways, for generations that may go on elsewhere",
     .processes = 28,
     .limit = 5,
     .demand = 60,
     .path = "/resumable/a",
     .limited = "d0"},
    {.name = "5 gateways, for prompts", .path = "/stream/a", .limited = "f0"}};

// Guards against gateways that together send an endpoint more than the limit
// that it names in its answers.
const acacialug::testing::Story kStory(
    "an endpoint's limit",
    {ForEach<LimitCase>(
         "is kept together by",
         kCases,
         [](const LimitCase& row) { return row.name; },
         [](const LimitCase& row) {
           LimitFleet fleet(row);
           fleet.Run(LimitFleet::kLimitEnd);
           CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.fullest_window()),
                                  fleet.fullest_window() <= 1);
         }),
     It("is used, and costs no request while other endpoints take them",
        [] {
          const LimitCase row{.limit = 4};
          LimitFleet fleet(row);
          fleet.Run(LimitFleet::kLimitEnd);
          const double seconds = 20;
          const auto sent = fleet.SentBetween(10s, LimitFleet::kLimitEnd);
          CPPUNIT_ASSERT(static_cast<double>(sent) > 0.5 * row.limit * seconds);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.refused());
        }),
     ForEach<LimitCase>(
         "is lifted for all by an answer without it, at",
         {{.name = "5 gateways"},
          {.name = "5 gateways, if it was zero", .limit = 0},
          {.name = "103 gateways", .processes = 103, .demand = 150}},
         [](const LimitCase& row) { return row.name; },
         [](const LimitCase& row) {
           LimitFleet fleet(row);
           fleet.Run(LimitFleet::kLimitEnd + 15s);
           const auto before = fleet.SentBetween(0s, LimitFleet::kLimitBegin);
           const auto after = fleet.SentBetween(LimitFleet::kLimitEnd + 10s,
                                                LimitFleet::kLimitEnd + 15s);
           CPPUNIT_ASSERT_MESSAGE(
               std::to_string(before) + " " + std::to_string(after),
               2 * after > before);
         })});

}  // namespace
}  // namespace acacialug::gateway
