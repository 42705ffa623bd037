#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_world.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::GatewayWorld;

constexpr int kEndpoints = 8;

// Endpoints that prefill, decode, and answer plain requests.
struct World : GatewayWorld {
  World() {
    this->Configure();
    for (int number = 0; number < kEndpoints; ++number) {
      const std::string name = std::to_string(number);
      this->AddEndpoint("f" + name, "model", EndpointRole::kPrefill);
      this->AddEndpoint("d" + name, "model", EndpointRole::kDecode);
      this->AddEndpoint("p" + name, "plain", EndpointRole::kPlain);
    }
  }

  // An attempt under which its decode endpoint ends.
  void Crash(const std::string& path) {
    this->Ask(path, "r" + std::to_string(++this->attempts));
    this->Break(this->BringToDecode());
  }

  int attempts = 0;
};

const acacialug::testing::Story kStory(
    "a request under which endpoints end",
    {It("is refused at once after the third, in whichever attempt it comes",
        [] {
          // Guards against a request that ends one endpoint after the other.
          World world;
          for (int crash = 0; crash < 3; ++crash) {
            world.Crash("/stream/a");
          }
          const auto answer = world.Ask("/stream/a", "again");
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(world.Calls().empty());
        })});

}  // namespace
}  // namespace acacialug::gateway
