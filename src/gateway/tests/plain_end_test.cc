#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;

constexpr std::string_view kPart = "the first part, ";

// A plain request that has received the first part of an unframed answer.
// `started_at`: of its endpoints, by their records; 0: not stated.
struct PlainAnswer : GatewaySimulation {
  explicit PlainAnswer(const std::string& path, std::int64_t started_at = 50) {
    this->Configure();
    for (const std::string id : {"p1", "p2"}) {
      this->AddEndpoint(id, "plain", EndpointRole::kPlain);
      if (started_at != 0) {
        this->Restart(id, started_at);
      }
    }
    this->answer = this->SendRequest(path, "r1");
    this->call = this->Find(path);
    this->Begin(this->call, true);
    this->call->hooks.on_data(kPart);
    this->AdvanceBy(1ms);
  }

  // The answer's connection ends in order, and the endpoint is asked.
  std::shared_ptr<Call> EndConnection() {
    this->End(this->call);
    this->AdvanceBy(1ms);
    return this->Find("/report");
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> call;
};

// What an endpoint does when it is asked after the end of its answer.
struct EndCase {
  std::string name;
  std::function<void(PlainAnswer& simulation)> act;
  bool whole = false;
  std::int64_t started_at = 50;
};

const std::vector<EndCase> kEnds = {
    {"takes no connection",
     [](PlainAnswer& simulation) { simulation.RefuseQuestions(); }},
    {"reports as another process",
     [](PlainAnswer& simulation) {
       simulation.Reply(simulation.Find("/report"), 200, {}, "started 60");
     }},
    {"is another one now",
     [](PlainAnswer& simulation) {
       simulation.Reply(simulation.Find("/report"), 421, {}, "");
     }},
    {"does not answer",
     [](PlainAnswer& simulation) {
       const Instant asked_at = simulation.now;
       while (simulation.Find("/report")) {
         simulation.AdvanceBy(50ms);
       }
       CPPUNIT_ASSERT(simulation.now - asked_at <= 800ms);
     }},
    {"reports as the same process",
     [](PlainAnswer& simulation) {
       simulation.Reply(simulation.Find("/report"), 200, {}, "started 50");
     },
     true},
    {"reports, and never states when it started",
     [](PlainAnswer& simulation) {
       simulation.Reply(simulation.Find("/report"), 200, {}, "no runs");
     },
     true, 0},
    {"reports after an exchange that broke",
     [](PlainAnswer& simulation) {
       simulation.Break(simulation.Find("/report"), true);
       simulation.AdvanceBy(20ms);
       simulation.Reply(simulation.Find("/report"), 200, {}, "started 50");
     },
     true},
    {"rejects the question",
     [](PlainAnswer& simulation) {
       simulation.Reply(simulation.Find("/report"), 503, {{"Refused", "1"}});
     },
     true}};

// Guards against a part of an answer that passes for the whole, since its
// endpoint was killed while it wrote (MIXED).
const Section kOnce = ForEach<EndCase>(
    "of a request that may run once is passed on only if it is whole: its "
    "endpoint",
    kEnds,
    [](const EndCase& row) { return row.name; },
    [](const EndCase& row) {
      PlainAnswer simulation("/once/a", row.started_at);
      simulation.EndConnection();
      CPPUNIT_ASSERT(!simulation.answer->ended);
      row.act(simulation);
      CPPUNIT_ASSERT_EQUAL(row.whole ? 200 : 502, simulation.answer->status);
      CPPUNIT_ASSERT_EQUAL(row.whole, simulation.answer->unframed);
      CPPUNIT_ASSERT_EQUAL(row.whole, simulation.answer->body == kPart);
      CPPUNIT_ASSERT(simulation.Find("/once/a") == nullptr);
    });

const Section kAgain = ForEach<EndCase>(
    "of a request that may run again is passed on, or goes to another "
    "endpoint: the first",
    kEnds,
    [](const EndCase& row) { return row.name; },
    [](const EndCase& row) {
      PlainAnswer simulation("/idempotent/a", row.started_at);
      const http::Address first = simulation.call->address;
      simulation.EndConnection();
      row.act(simulation);
      if (row.whole) {
        CPPUNIT_ASSERT_EQUAL(200, simulation.answer->status);
        return;
      }
      CPPUNIT_ASSERT(!simulation.answer->ended);
      const auto second = simulation.Find("/idempotent/a");
      CPPUNIT_ASSERT(second != nullptr && !(second->address == first));
      simulation.ReplyProof(second, 200, "all of it");
      CPPUNIT_ASSERT_EQUAL(std::string("all of it"), simulation.answer->body);
    });

const acacialug::testing::Story kStory(
    "a plain answer without a length, whose connection ended in order,",
    {kOnce, kAgain,
     It("is not waited for beyond the caller's time",
        [] {
          PlainAnswer simulation("/once/a");
          simulation.EndConnection();
          simulation.AdvanceBy(14s);
          CPPUNIT_ASSERT(simulation.answer->status >= 502);
        }),
     It("leaves no question behind when its caller goes",
        [] {
          PlainAnswer simulation("/once/a");
          simulation.EndConnection();
          simulation.Disconnect();
          CPPUNIT_ASSERT(simulation.Calls().empty() ||
                         simulation.Calls().back()->cancelled);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_under_way());
        }),
     It("asks nobody if it is no success, or has a length", [] {
       PlainAnswer framed("/once/a");
       framed.SendRequest("/once/b", "r2");
       framed.ReplyProof(framed.Find("/once/b"), 200, "whole");
       GatewaySimulation failing;
       failing.Configure();
       failing.AddEndpoint("p1", "plain", EndpointRole::kPlain);
       const auto answer = failing.SendRequest("/once/a", "r1");
       const auto call = failing.Find("/once/a");
       call->hooks.on_head(404, {{"Proof", "1"}});
       call->hooks.on_unframed();
       failing.End(call);
       CPPUNIT_ASSERT_EQUAL(404, answer->status);
       failing.AdvanceBy(1ms);
       CPPUNIT_ASSERT(failing.Calls().empty());
     })});

}  // namespace
}  // namespace acacialug::gateway
