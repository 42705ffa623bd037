#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::Call;
using testing::GatewaySimulation;

// Two decode endpoints, and a generation whose memory one of them has granted
// and whose prompt is being computed.
struct PromptSimulation : GatewaySimulation {
  explicit PromptSimulation(const std::string& path = "/stream/a",
                            const std::string& other_version = "1") {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill, "1");
    this->AddEndpoint("d1", "model", EndpointRole::kDecode, "1");
    this->Restart("d1", 50);
    this->AdvanceBy(5s);  // then gateways know of the version
    this->answer = this->SendRequest(path, "a");
    this->Reply(this->Find("/reserve/"), 200, {}, "first");
    this->prompt = this->Find("prefill");
    this->AddEndpoint("f2", "model", EndpointRole::kPrefill, other_version);
    this->AddEndpoint("d2", "model", EndpointRole::kDecode, other_version);
  }

  bool Released(const std::string& target) const {
    return std::count(this->released.begin(), this->released.end(), target) ==
           1;
  }

  std::shared_ptr<testing::Answer> answer;
  std::shared_ptr<Call> prompt;
};

struct ChangeCase {
  std::string name;
  std::function<void(GatewaySimulation&, const std::string& endpoint)> change;
  // What runs there now may be chosen again.
  bool serves_again = false;
};

const std::vector<ChangeCase> kChanges = {
    {"begins to leave",
     [](GatewaySimulation& simulation, const std::string& endpoint) {
       simulation.Retire(endpoint);
     }},
    {"is removed",
     [](GatewaySimulation& simulation, const std::string& endpoint) {
       simulation.RemoveEndpoint(endpoint);
     }},
    {"is restarted",
     [](GatewaySimulation& simulation, const std::string& endpoint) {
       simulation.Restart(endpoint, 60);
     },
     true},
    {"is replaced by another version",
     [](GatewaySimulation& simulation, const std::string& endpoint) {
       simulation.SetVersion(endpoint, "2");
     }}};

// Guards against requests at an endpoint that left while their prompts were
// computed elsewhere (DRAIN).
const Section kMoves = ForEach<ChangeCase>(
    "is decoded elsewhere from the same prompt if its decode endpoint",
    kChanges,
    [](const ChangeCase& row) { return row.name; },
    [](const ChangeCase& row) {
      for (const std::string path :
           {"/stream/a", "/resumable/a", "/listing/a"}) {
        PromptSimulation simulation(path);
        row.change(simulation, "d1");
        simulation.Reply(simulation.prompt, 200, {}, "x1");
        CPPUNIT_ASSERT(simulation.Find("decode") == nullptr);
        CPPUNIT_ASSERT(simulation.Released("/reserve/first"));
        simulation.Reply(simulation.Find("/reserve/"), 200, {}, "second");
        const auto decode = simulation.Find("decode");
        CPPUNIT_ASSERT(decode != nullptr);
        CPPUNIT_ASSERT(row.serves_again ||
                       decode == simulation.FindAt("d2", "decode"));
        CPPUNIT_ASSERT_EQUAL(std::string("x1"), HeaderOf(decode, "Export"));
        CPPUNIT_ASSERT_EQUAL(std::string("second"),
                             HeaderOf(decode, "Reservation"));
        CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
        CPPUNIT_ASSERT(!simulation.Released("/export/x1"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             simulation.Logged("placement_lost"));
      }
    });

// Guards against prompts at an endpoint that left while decode memory was
// reserved for them (DRAIN).
const Section kPrompts = ForEach<ChangeCase>(
    "is computed elsewhere if its prefill endpoint",
    kChanges,
    [](const ChangeCase& row) { return row.name; },
    [](const ChangeCase& row) {
      GatewaySimulation simulation;
      simulation.Configure();
      simulation.AddEndpoint("f1", "model", EndpointRole::kPrefill, "1");
      simulation.AddEndpoint("d1", "model", EndpointRole::kDecode, "1");
      simulation.Restart("f1", 50);
      simulation.SendRequest("/stream/a", "a");
      simulation.AddEndpoint("f2", "model", EndpointRole::kPrefill, "1");
      row.change(simulation, "f1");
      simulation.Reply(simulation.Find("/reserve/"), 200, {}, "first");
      CPPUNIT_ASSERT(simulation.Find("prefill") == nullptr);
      simulation.Reply(simulation.Find("/reserve/"), 200, {}, "second");
      const auto prompt = simulation.Find("prefill");
      CPPUNIT_ASSERT(prompt != nullptr);
      CPPUNIT_ASSERT(row.serves_again ||
                     prompt == simulation.FindAt("f2", "prefill"));
    });

const acacialug::testing::Story kStory(
    "a generation whose prompt is computed",
    {kMoves, kPrompts,
     It("waits without it if no other endpoint has room, and releases it at "
        "once",
        [] {
          // Guards against prefill memory held for prompts that nobody decodes.
          PromptSimulation simulation;
          simulation.RemoveEndpoint("d2");
          simulation.Retire("d1");
          simulation.Reply(simulation.prompt, 200, {}, "x1");
          CPPUNIT_ASSERT(simulation.Calls().empty());
          CPPUNIT_ASSERT(simulation.Released("/export/x1"));
          CPPUNIT_ASSERT(simulation.Released("/reserve/first"));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               simulation.core->requests_waiting());
          CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                               simulation.Logged("prompt_unused"));
        }),
     It("is computed again where only another version is left",
        [] {
          // Guards against prompts that another version can't decode.
          PromptSimulation simulation("/stream/a", "2");
          simulation.Retire("d1");
          simulation.Reply(simulation.prompt, 200, {}, "x1");
          CPPUNIT_ASSERT(simulation.Released("/export/x1"));
          simulation.Reply(simulation.FindAt("d2", "/reserve/"), 200, {}, "r");
          CPPUNIT_ASSERT(simulation.FindAt("f2", "prefill") != nullptr);
        }),
     It("gives it up once it may lapse before it is fetched", [] {
       // Guards against endpoints that are blamed for a prompt that lapsed
       // while others were asked for room.
       PromptSimulation simulation;
       simulation.AddEndpoint("d3", "model", EndpointRole::kDecode, "1");
       simulation.Retire("d1");
       simulation.Reply(simulation.prompt, 200, {}, "x1");
       CPPUNIT_ASSERT(simulation.Find("/reserve/") != nullptr);
       simulation.AdvanceBy(260ms);
       CPPUNIT_ASSERT(simulation.Released("/export/x1"));
       simulation.Reply(simulation.Find("/reserve/"), 200, {}, "r");
       CPPUNIT_ASSERT(simulation.Find("prefill") != nullptr);
     })});

}  // namespace
}  // namespace acacialug::gateway
