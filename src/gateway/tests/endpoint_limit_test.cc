#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::GatewaySimulation;

// One plain endpoint, to which every request goes.
struct LimitSimulation : GatewaySimulation {
  LimitSimulation() {
    this->Configure();
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
  }

  void Answer(const http::Headers& headers) {
    this->SendRequest("/once/a", "r" + std::to_string(++this->requests));
    this->Reply(this->Find("/once/"), 200, headers);
  }
  std::ptrdiff_t Logged(const std::string& event) const {
    return std::count(this->events.begin(), this->events.end(), event);
  }

  int requests = 0;
};

const acacialug::testing::Story kLog(
    "an endpoint that names a limit",
    {It("is logged once, again when the limit changes, and when it ends",
        [] {
          LimitSimulation simulation;
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 1);
          simulation.Answer({{"Proof", "1"}, {"Limit", "30"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 2);
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 0);
          simulation.Answer({{"Proof", "1"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 1);
        }),
     It("keeps its limit when an answer is another's, or no proof that it ran",
        [] {
          LimitSimulation simulation;
          simulation.Answer({{"Proof", "1"}, {"Limit", "20"}});
          simulation.Answer({{"Refused", "1"}});
          simulation.Answer({{"Other", "1"}, {"Limit", "5"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limited") == 1);
          CPPUNIT_ASSERT(simulation.Logged("endpoint_limit_ended") == 0);
        })});

}  // namespace
}  // namespace acacialug::gateway
