#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using testing::Call;
using testing::GatewaySimulation;

// Endpoints of each role.
struct AdviceSimulation : GatewaySimulation {
  explicit AdviceSimulation(int endpoints = 2) {
    this->Configure();
    for (int number = 0; number < endpoints; ++number) {
      const std::string name = std::to_string(number);
      this->AddEndpoint("f" + name, "model", EndpointRole::kPrefill);
      this->AddEndpoint("d" + name, "model", EndpointRole::kDecode);
      this->AddEndpoint("p" + name, "plain", EndpointRole::kPlain);
    }
  }

  // A request that ends at once, with this answer of its endpoint. Returns the
  // endpoint.
  std::string Ask(const std::string& path, const http::Headers& headers) {
    this->SendRequest(path, "r" + std::to_string(++this->requests));
    const auto call = this->Find(path);
    const std::string endpoint = this->EndpointOf(call);
    this->Reply(call, headers[0].name == "Refused" ? 503 : 200, headers);
    return endpoint;
  }
  std::string EndpointOf(const std::shared_ptr<Call>& call) const {
    CPPUNIT_ASSERT_MESSAGE("no such call", call != nullptr);
    const auto found = std::find_if(
        this->addresses.begin(), this->addresses.end(),
        [&call](const auto& entry) { return entry.second == call->address; });
    return found->first;
  }
  std::ptrdiff_t Logged(const std::string& event) const {
    return std::count(this->events.begin(), this->events.end(), event);
  }

  int requests = 0;
};

const acacialug::testing::Story kLog(
    "what an endpoint's answer says is logged:",
    {It("that it leaves, once",
        [] {
          AdviceSimulation simulation(1);
          simulation.Ask("/once/a", {{"Proof", "1"}, {"Leaving", "1"}});
          CPPUNIT_ASSERT(simulation.Logged("endpoint_leaves") == 1);
        }),
     It("that it asks for rest", [] {
       AdviceSimulation simulation(1);
       simulation.Ask("/once/a", {{"Refused", "1"}, {"Rest", "3"}});
       CPPUNIT_ASSERT(simulation.Logged("endpoint_rests") > 0);
     })});

}  // namespace
}  // namespace acacialug::gateway
