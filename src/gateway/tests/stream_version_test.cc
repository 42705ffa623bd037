#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;

// A stream of version v1 that has sent its first event, beside endpoints of v2
// that have nothing to do.
struct Versions : GatewaySimulation {
  Versions() {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill, "v1");
    this->AddEndpoint("d1", "model", EndpointRole::kDecode, "v1");
    this->answer = this->SendRequest("/resumable/a", "r1");
    this->decode = this->AdvanceToDecode();
    this->Begin(this->decode);
    this->Event(this->decode, 0);
    this->AddEndpoint("f2", "model", EndpointRole::kPrefill, "v2");
    this->AddEndpoint("d2", "model", EndpointRole::kDecode, "v2");
    this->AddEndpoint("d3", "model", EndpointRole::kDecode, "v2");
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

const acacialug::testing::Story kWithinAnswer(
    "a stream that one software version began",
    {It("goes on within its answer at that version only",
        [] {
          // Guards against a broken stream that another version continues.
          Versions gateway;
          gateway.AddEndpoint("d4", "model", EndpointRole::kDecode, "v1");
          gateway.Break(gateway.decode);
          const auto other = gateway.AdvanceToDecode();
          CPPUNIT_ASSERT_EQUAL(std::string("v1"), gateway.VersionAt(other));
        }),
     It("is cut off at once when no endpoint of that version is left",
        [] {
          Versions gateway;
          gateway.RemoveEndpoint("d1");
          gateway.Break(gateway.decode);
          CPPUNIT_ASSERT(gateway.answer->cut);
          CPPUNIT_ASSERT(gateway.Calls().empty());
        }),
     It("goes on at that version when its caller takes it up", [] {
       // Guards against a takeup that is placed like a new stream.
       Versions gateway;
       gateway.Disconnect();
       for (const char* const id : {"r2", "r3", "r4"}) {
         gateway.ResumeStream("/resumable/a", id, "r1", 0);
         CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                              gateway.VersionAt(gateway.AdvanceToDecode()));
       }
     })});

}  // namespace
}  // namespace acacialug::gateway
