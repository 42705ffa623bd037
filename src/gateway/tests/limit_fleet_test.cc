#include "gateway/tests/limit_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using testing::LimitCase;
using testing::LimitFleet;

const std::vector<LimitCase> kCases = {{.name = "5 gateways"}};

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
          fleet.Run(30s);
          CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.fullest_window()),
                                 fleet.fullest_window() <= 1);
        })});

}  // namespace
}  // namespace acacialug::gateway
