#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/endpoint_health.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::Call;
using testing::GatewaySimulation;

// Endpoints of each role.
struct AdviceSimulation : GatewaySimulation {
  explicit AdviceSimulation(int endpoints = 2, double repeat_extra = 58)
      : GatewaySimulation(repeat_extra) {
    this->Configure();
    for (int number = 0; number < endpoints; ++number) {
      const std::string name = std::to_string(number);
      this->AddEndpoint("f" + name, "model", EndpointRole::kPrefill);
      this->AddEndpoint("d" + name, "model", EndpointRole::kDecode);
      this->AddEndpoint("p" + name, "plain", EndpointRole::kPlain);
    }
  }

  // A request that ends at once, with this answer of its endpoint.
  void Ask(const std::string& path, const http::Headers& headers) {
    this->SendRequest(path, "r" + std::to_string(++this->requests));
    this->Reply(this->Find(path), headers[0].name == "Refused" ? 503 : 200,
                headers);
  }
  std::string EndpointOf(const std::shared_ptr<Call>& call) const {
    CPPUNIT_ASSERT_MESSAGE("no such call", call != nullptr);
    const auto found = std::find_if(
        this->addresses.begin(), this->addresses.end(),
        [&call](const auto& entry) { return entry.second == call->address; });
    return found->first;
  }

  int requests = 0;
};

// A message that an endpoint answers with advice, and the role of the endpoint.
struct PhaseCase {
  std::string name;
  std::string path;
  std::string role;  // the first letter of the endpoint's name
  // Sends a request until the endpoint has the message; returns it.
  std::function<std::shared_ptr<Call>(AdviceSimulation&)> advance;
};

const std::vector<PhaseCase> kPhases = {
    {"a request that runs once", "/once/a", "p",
     [](AdviceSimulation& simulation) {
       simulation.SendRequest("/once/a", "r");
       return simulation.Find("/once/a");
     }},
    {"a request that may run again", "/idempotent/a", "p",
     [](AdviceSimulation& simulation) {
       simulation.SendRequest("/idempotent/a", "r");
       return simulation.Find("/idempotent/a");
     }},
    {"a reservation", "/stream/a", "d",
     [](AdviceSimulation& simulation) {
       simulation.SendRequest("/stream/a", "r", "300,90");
       return simulation.Find("/reserve/");
     }},
    {"a prompt", "/stream/a", "f",
     [](AdviceSimulation& simulation) {
       simulation.SendRequest("/stream/a", "r", "300,90");
       simulation.Reply(simulation.Find("/reserve/"), 200, {}, "r1");
       return simulation.Find("prefill");
     }},
    {"a generation", "/stream/a", "d", [](AdviceSimulation& simulation) {
       simulation.SendRequest("/stream/a", "r", "300,90");
       return simulation.AdvanceToDecode();
     }}};

// Sends requests of the phase's path, and answers each of their messages;
// returns how many messages reached the endpoint.
int CountMessages(AdviceSimulation& simulation,
                  const PhaseCase& row,
                  const std::string& endpoint) {
  int messages = 0;
  for (int request = 0; request < 40; ++request) {
    simulation.SendRequest(row.path, "s" + std::to_string(request), "300,90");
    for (auto calls = simulation.Calls(); !calls.empty();
         calls = simulation.Calls()) {
      messages += simulation.EndpointOf(calls.back()) == endpoint ? 1 : 0;
      simulation.Reply(calls.back(), 200, {{"Proof", "1"}}, "name");
    }
    simulation.AdvanceBy(50ms);
  }
  return messages;
}

const acacialug::testing::Story kAdvice(
    "an endpoint whose answer",
    {It("says that it leaves gets nothing more, in any phase",
        [] {
          // Guards against requests at an endpoint that has said it leaves.
          for (const PhaseCase& row : kPhases) {
            AdviceSimulation simulation;
            const auto call = row.advance(simulation);
            const std::string endpoint = simulation.EndpointOf(call);
            CPPUNIT_ASSERT_EQUAL(row.role, endpoint.substr(0, 1));
            simulation.Reply(call, 200, {{"Proof", "1"}, {"Leaving", "1"}},
                             "name");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.name, 0, CountMessages(simulation, row, endpoint));
          }
        }),
     It("asks for rest gets nothing more until it ends, in any phase",
        [] {
          // Guards against requests at an endpoint that has asked for rest.
          for (const PhaseCase& row : kPhases) {
            AdviceSimulation simulation;
            const auto call = row.advance(simulation);
            const std::string endpoint = simulation.EndpointOf(call);
            simulation.Reply(call, 503, {{"Refused", "1"}, {"Rest", "3"}});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.name, 0, CountMessages(simulation, row, endpoint));
          }
        }),
     It("asks for rest gets requests again when it ends, and not sooner",
        [] {
          AdviceSimulation simulation(1);
          simulation.Ask("/once/a", {{"Refused", "1"}, {"Rest", "3"}});
          simulation.AdvanceBy(2990ms);
          CPPUNIT_ASSERT_EQUAL(
              503, simulation.SendRequest("/once/a", "early")->status);
          CPPUNIT_ASSERT(simulation.Logged("call_unplaced") == 1);
          simulation.AdvanceBy(20ms);
          simulation.SendRequest("/once/a", "late");
          CPPUNIT_ASSERT(simulation.Find("/once/a") != nullptr);
        }),
     It("asks for a shorter rest, or is a success, ends no rest",
        [] {
          AdviceSimulation simulation(1);
          simulation.SendRequest("/once/a", "r1");
          const auto first = simulation.Find("/once/a");
          simulation.SendRequest("/once/b", "r2");
          const auto second = simulation.Find("/once/b");
          simulation.SendRequest("/once/c", "r3");
          const auto third = simulation.Find("/once/c");
          simulation.Reply(first, 503, {{"Refused", "1"}, {"Rest", "3"}});
          simulation.Reply(second, 503, {{"Refused", "1"}, {"Rest", "1"}});
          simulation.Reply(third, 200, {{"Proof", "1"}});
          simulation.AdvanceBy(2s);
          CPPUNIT_ASSERT_EQUAL(503,
                               simulation.SendRequest("/once/a", "r4")->status);
        }),
     It("asks for rest while a prompt is computed for it decodes nothing",
        [] {
          // Guards against generations that were placed before the rest began.
          AdviceSimulation simulation;
          std::vector<std::shared_ptr<Call>> prefills;
          for (int request = 0; request < 6; ++request) {
            simulation.SendRequest("/stream/a", std::to_string(request),
                                   "300,90");
            simulation.Reply(simulation.Find("/reserve/"), 200, {}, "r");
            prefills.push_back(simulation.Find("prefill"));
          }
          simulation.SendRequest("/stream/a", "last", "300,90");
          const auto refused = simulation.Find("/reserve/");
          const std::string resting = simulation.EndpointOf(refused);
          simulation.Reply(refused, 503, {{"Refused", "1"}, {"Rest", "3"}});
          for (const auto& prefill : prefills) {
            simulation.Reply(prefill, 200, {}, "x");
          }
          for (const auto& call : simulation.Calls()) {
            CPPUNIT_ASSERT(simulation.EndpointOf(call) != resting);
          }
        }),
     It("came from an incarnation that has ended since changes nothing",
        [] {
          // Guards against a restarted endpoint that stays unused because of an
          // answer that its former process wrote.
          for (const http::Header& advice :
               {http::Header{"Leaving", "1"}, http::Header{"Rest", "3"},
                http::Header{"Limit", "0"}}) {
            AdviceSimulation simulation(1);
            simulation.Restart("p0", 100);
            simulation.SendRequest("/once/a", "r1");
            const auto former = simulation.Find("/once/a");
            simulation.Restart("p0", 200);
            simulation.Reply(former, 503, {{"Refused", "1"}, advice});
            for (int request = 0; request < 3; ++request) {
              simulation.AdvanceBy(1s);
              const auto answer = simulation.SendRequest("/once/a", "r2");
              CPPUNIT_ASSERT_MESSAGE(advice.name, simulation.Find("/once/a"));
              simulation.ReplyProof(simulation.Find("/once/a"), 200);
              CPPUNIT_ASSERT_EQUAL(200, answer->status);
            }
          }
        }),
     It("asks for rest costs no caller while another takes its requests",
        [] {
          AdviceSimulation simulation;
          simulation.SendRequest("/idempotent/a", "r1");
          simulation.Reply(simulation.Find("/idempotent/a"), 503,
                           {{"Refused", "1"}, {"Rest", "3"}});
          const auto other = simulation.Find("/idempotent/a");
          simulation.ReplyProof(other, 200);
          const auto answer = simulation.SendRequest("/idempotent/a", "r2");
          simulation.ReplyProof(simulation.Find("/idempotent/a"), 200);
          CPPUNIT_ASSERT_EQUAL(200, answer->status);
        }),
     It("asks for rest takes no repeat of a request that nobody else can take",
        [] {
          // Guards against a repeat budget that is used up by repeats that are
          // never sent.
          AdviceSimulation simulation(1, 1);
          for (int request = 0; request < 10; ++request) {
            simulation.Ask("/once/a", {{"Refused", "1"}, {"Rest", "0.1"}});
            simulation.AdvanceBy(200ms);
          }
          simulation.AddEndpoint("p9", "plain", EndpointRole::kPlain);
          simulation.SendRequest("/once/a", "r2");
          simulation.ReplyRefused(simulation.Find("/once/a"));
          CPPUNIT_ASSERT(simulation.Find("/once/a") != nullptr);
        }),
     It("asks for rest keeps it while nothing else is seen of it", [] {
       EndpointHealth health;
       constexpr Instant kNow{1h};
       health.NoteRest(EndpointId("a"), 10min, kNow);
       health.Sweep(kNow + 9min);
       CPPUNIT_ASSERT(health.Resting(EndpointId("a"), kNow + 9min));
       health.Sweep(kNow + 11min);
       CPPUNIT_ASSERT(!health.Resting(EndpointId("a"), kNow + 11min));
       health.NoteRest(EndpointId("a"), 10min, kNow);
       health.Forget(EndpointId("a"));
       CPPUNIT_ASSERT(!health.Resting(EndpointId("a"), kNow));
     })});

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
