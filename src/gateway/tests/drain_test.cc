#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::GatewaySimulation;

// A gateway that has answered calls, each of which took `usual`.
struct DrainingGateway : GatewaySimulation {
  explicit DrainingGateway(Duration usual) {
    this->Configure();
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    this->AddEndpoint("d1", "model", EndpointRole::kDecode);
    for (int number = 0; number < 60; ++number) {
      const std::string path = "/once/" + std::to_string(number);
      this->SendRequest(path, std::to_string(number));
      this->AdvanceBy(usual);
      this->ReplyProof(this->Find(path), 200);
    }
  }
};

// Guards against requests that a gateway takes after it was told to end, and
// cuts at the end of its grace.
const Section kRefused = ForEach<std::string>(
    "refuses at once, as not run, what is likely to outlast its grace",
    {"/once/a", "/idempotent/a", "/stream/a", "/resumable/a"},
    [](const std::string& path) { return path; },
    [](const std::string& path) {
      DrainingGateway simulation(600ms);
      simulation.core->BeginDrain(1s);
      const auto answer = simulation.SendRequest(path, "a");
      CPPUNIT_ASSERT_EQUAL(503, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("0.05"), answer->retry_after);
      CPPUNIT_ASSERT(simulation.Calls().empty());
    });

const Section kTaken = ForEach<std::string>(
    "takes what is usually done by then",
    {"/once/a", "/idempotent/a"},
    [](const std::string& path) { return path; },
    [](const std::string& path) {
      DrainingGateway simulation(100ms);
      simulation.core->BeginDrain(1s);
      simulation.SendRequest(path, "a");
      CPPUNIT_ASSERT(simulation.Find(path) != nullptr);
      simulation.AdvanceBy(900ms);
      const auto late = simulation.SendRequest("/once/b", "b");
      CPPUNIT_ASSERT_EQUAL(503, late->status);
    });

const acacialug::testing::Story kStory(
    "a gateway that is told to end",
    {kRefused, kTaken,
     It("takes what its time limit ends before, however long it may take",
        [] {
          DrainingGateway simulation(600ms);
          simulation.core->BeginDrain(2s);
          simulation.SendRequest("/once/a", "a");
          CPPUNIT_ASSERT(simulation.Find("/once/a") != nullptr);
        }),
     It("refuses a stream that waits for a place once it would be cut",
        [] {
          // Guards against streams that are placed at the end of the grace.
          DrainingGateway simulation(100ms);
          const auto answer = simulation.SendRequest("/stream/a", "a");
          const auto decode = simulation.AdvanceToDecode();
          simulation.RemoveEndpoint("d1");
          simulation.ReplyRefused(decode);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               simulation.core->requests_waiting());
          simulation.core->BeginDrain(2s);
          simulation.AdvanceBy(400ms);
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
        }),
     It("ends what is unanswered as unknown if it may have run, and else as "
        "not run",
        [] {
          DrainingGateway simulation(100ms);
          const auto sent = simulation.SendRequest("/once/a", "a");
          const auto prompt = simulation.SendRequest("/stream/a", "b");
          simulation.core->BeginDrain(4s);
          simulation.core->EndUnanswered();
          CPPUNIT_ASSERT_EQUAL(502, sent->status);
          CPPUNIT_ASSERT_EQUAL(503, prompt->status);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        })});

}  // namespace
}  // namespace acacialug::gateway
