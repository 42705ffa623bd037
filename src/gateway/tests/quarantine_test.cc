#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <functional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/request_key.h"
#include "gateway/tests/gateway_world.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::Answer;
using testing::Call;
using testing::GatewayWorld;
using AnswerPtr = std::shared_ptr<Answer>;

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

  AnswerPtr Attempt(const std::string& path) {
    return this->Ask(path, "r" + std::to_string(++this->attempts));
  }

  // An attempt under which its decode endpoint ends.
  void Crash(const std::string& path) {
    this->Attempt(path);
    this->Break(this->BringToDecode());
  }

  // A peer tells of three endpoints that ended under a request.
  void HearOf(const std::string& path, Duration age = 0ms) {
    this->core->SetPeerCrash(
        {.request =
             RequestKeyOf({.host = "h.example",
                           .message = {.method = "POST", .target = path}}),
         .ends = {{1, 1}, {2, 2}, {3, 3}},
         .age = age});
  }

  int attempts = 0;
};

// What a request meets on its way, until three endpoints have ended under it.
struct PhaseCase {
  std::string name;
  std::string path;
  std::function<void(World&)> crashes;
};

const std::vector<PhaseCase> kPhases = {
    {"while it decodes, one in each attempt", "/stream/a",
     [](World& world) {
       for (int crash = 0; crash < 3; ++crash) {
         world.Crash("/stream/a");
       }
     }},
    {"while it decodes, two of them in one attempt", "/resumable/a",
     [](World& world) {
       world.Crash("/resumable/a");
       world.Break(world.BringToDecode());
       world.Crash("/resumable/a");
     }},
    {"in the middle of its stream", "/stream/a",
     [](World& world) {
       for (int crash = 0; crash < 3; ++crash) {
         world.Attempt("/stream/a");
         const auto decode = world.BringToDecode();
         world.Begin(decode);
         world.Event(decode, 0);
         world.Break(decode);
       }
     }},
    {"while its prompt is computed", "/stream/a",
     [](World& world) {
       for (int crash = 0; crash < 3; ++crash) {
         world.Attempt("/stream/a");
         world.Reply(world.Find("/reserve/"), 200, {}, "v");
         world.Break(world.Find("prefill"));
         world.Leave();
       }
     }},
    {"of plain requests that may run again", "/idempotent/a",
     [](World& world) {
       world.Attempt("/idempotent/a");
       world.Break(world.Find("/idempotent/a"));
       world.Break(world.Find("/idempotent/a"));
       world.Attempt("/idempotent/a");
       world.Break(world.Find("/idempotent/a"));
     }},
    {"of plain requests that run once", "/once/a",
     [](World& world) {
       for (int crash = 0; crash < 3; ++crash) {
         world.Attempt("/once/a");
         world.Break(world.Find("/once/a"));
       }
     }},
    {"at peers", "/stream/a", [](World& world) { world.HearOf("/stream/a"); }}};

// Where a request stands when a peer tells that three endpoints ended under it.
struct StandCase {
  std::string name;
  std::function<AnswerPtr(World&)> stands;
  std::function<void(World&)> goes_on;
  int status = 503;
};

const std::vector<StandCase> kStands = {
    {"while it waits for a place",
     [](World& world) {
       for (int number = 0; number < kEndpoints; ++number) {
         world.RemoveEndpoint("d" + std::to_string(number));
       }
       return world.Attempt("/stream/a");
     },
     [](World& world) {
       world.AddEndpoint("late", "model", EndpointRole::kDecode);
     }},
    {"while it asks for memory",
     [](World& world) { return world.Attempt("/stream/a"); },
     [](World& world) {
       world.Reply(world.Find("/reserve/"), 200, {}, "v");
       CPPUNIT_ASSERT_EQUAL(std::string("/reserve/v"), world.released.back());
     }},
    {"while it is refused memory",
     [](World& world) { return world.Attempt("/stream/a"); },
     [](World& world) { world.Reply(world.Find("/reserve/"), 503, {}); }},
    {"while its prompt is computed",
     [](World& world) {
       auto answer = world.Attempt("/stream/a");
       world.Reply(world.Find("/reserve/"), 200, {}, "v");
       return answer;
     },
     [](World& world) {
       world.Reply(world.Find("prefill"), 200, {}, "x1");
       CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                            std::count(world.released.begin(),
                                       world.released.end(), "/export/x1"));
     }},
    {"while its prompt is computed, in vain",
     [](World& world) {
       auto answer = world.Attempt("/stream/a");
       world.Reply(world.Find("/reserve/"), 200, {}, "v");
       return answer;
     },
     [](World& world) { world.Reply(world.Find("prefill"), 500, {}); }},
    {"before its decode endpoint rejects it",
     [](World& world) {
       auto answer = world.Attempt("/stream/a");
       world.BringToDecode();
       return answer;
     },
     [](World& world) { world.ReplyRefused(world.Find("decode")); }},
    {"before its decode endpoint is lost",
     [](World& world) {
       auto answer = world.Attempt("/resumable/a");
       world.BringToDecode();
       return answer;
     },
     [](World& world) { world.Break(world.Find("decode")); }, 502},
    {"before a plain endpoint rejects it",
     [](World& world) { return world.Attempt("/once/a"); },
     [](World& world) { world.ReplyRefused(world.Find("/once/a")); }},
    {"before a plain endpoint is lost",
     [](World& world) { return world.Attempt("/idempotent/a"); },
     [](World& world) { world.Break(world.Find("/idempotent/a")); }, 502},
    {"before a plain endpoint fails",
     [](World& world) { return world.Attempt("/idempotent/a"); },
     [](World& world) { world.ReplyProof(world.Find("/idempotent/a"), 500); },
     500}};

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
        }),
     ForEach<PhaseCase>(
         "is sent nowhere after three have ended",
         kPhases,
         [](const PhaseCase& row) { return row.name; },
         [](const PhaseCase& row) {
           World world;
           row.crashes(world);
           CPPUNIT_ASSERT_MESSAGE("nothing is under way",
                                  world.Calls().empty());
           const auto answer = world.Attempt(row.path);
           CPPUNIT_ASSERT_EQUAL(503, answer->status);
           CPPUNIT_ASSERT(std::stod(answer->retry_after) > 590);
           CPPUNIT_ASSERT(world.Calls().empty());
           CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                world.core->requests_quarantined());
         }),
     ForEach<StandCase>(
         "is sent nowhere once a peer tells of the third",
         kStands,
         [](const StandCase& row) { return row.name; },
         [](const StandCase& row) {
           World world;
           const auto answer = row.stands(world);
           for (const char* const path :
                {"/stream/a", "/resumable/a", "/idempotent/a", "/once/a"}) {
             world.HearOf(path);
           }
           row.goes_on(world);
           CPPUNIT_ASSERT_EQUAL(row.status, answer->status);
           CPPUNIT_ASSERT(world.Calls().empty());
           CPPUNIT_ASSERT(world.core->OwnLoad().rows.empty());
         }),
     It("is left where it runs, silent or not, when a peer tells of the third",
        [] {
          World world;
          const auto answer = world.Attempt("/resumable/a");
          const auto decode = world.BringToDecode();
          world.Begin(decode);
          world.Event(decode, 0);
          world.HearOf("/resumable/a");
          world.Pass(3s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Calls().size());
          world.Event(decode, 1);
          world.End(decode);
          CPPUNIT_ASSERT(answer->ended && !answer->cut);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               world.core->requests_quarantined());
        }),
     Section(
         "leaves alone",
         {It("another request of the same caller",
             [] {
               World world;
               for (int crash = 0; crash < 3; ++crash) {
                 world.Crash("/stream/a");
               }
               CPPUNIT_ASSERT(!world.Attempt("/stream/b")->ended);
             }),
          It("one that was beside it at two endpoints, and goes on at a third",
             [] {
               // Guards against refusing a request for the crashes of others.
               World world;
               const auto first = world.Attempt("/resumable/b");
               world.Break(world.BringToDecode());
               world.Break(world.BringToDecode());
               CPPUNIT_ASSERT_EQUAL(502, first->status);
               const auto second = world.Attempt("/resumable/b");
               const auto decode = world.BringToDecode();
               world.Begin(decode);
               world.Event(decode, 0);
               world.End(decode);
               CPPUNIT_ASSERT(second->ended && !second->cut);
               // Its answer clears it.
               world.Crash("/resumable/b");
               CPPUNIT_ASSERT(world.Find("/reserve/") != nullptr);
             }),
          It("one that went to three endpoints in one attempt as they ended",
             [] {
               // Guards against refusing a request for the crashes of others.
               World world;
               const auto first = world.Attempt("/resumable/b");
               world.Reply(world.Find("/reserve/"), 200, {}, "v");
               world.Break(world.Find("prefill"));
               world.Break(world.BringToDecode());
               world.Break(world.BringToDecode());
               CPPUNIT_ASSERT_EQUAL(502, first->status);
               CPPUNIT_ASSERT(!world.Attempt("/resumable/b")->ended);
             }),
          It("requests that look the same when many endpoints end at once",
             [] {
               // Guards against refusing a whole kind of requests.
               World world;
               world.Attempt("/idempotent/a");
               world.ReplyProof(world.Find("/idempotent/a"), 200, "ok");
               for (int crash = 0; crash < 3; ++crash) {
                 world.Attempt("/idempotent/a");
                 world.Break(world.Find("/idempotent/a"));
                 world.Break(world.Find("/idempotent/a"));
               }
               CPPUNIT_ASSERT(!world.Attempt("/idempotent/a")->ended);
             }),
          It("one that an endpoint refused, or that never reached one",
             [] {
               World world;
               for (int time = 0; time < 4; ++time) {
                 world.Attempt("/once/a");
                 world.Break(world.Find("/once/a"), false);
                 world.ReplyRefused(world.Find("/once/a"));
                 world.Leave();
               }
               CPPUNIT_ASSERT(!world.Attempt("/once/a")->ended);
             }),
          It("one whose endpoints leave as they were told to",
             [] {
               // Guards against refusing what a replacement of endpoints cuts
               // off.
               World world;
               for (int time = 0; time < 3; ++time) {
                 world.Attempt("/stream/a");
                 const auto decode = world.BringToDecode();
                 for (int number = 0; number < kEndpoints; ++number) {
                   const std::string id = "d" + std::to_string(number);
                   if (decode->address == world.addresses.at(id)) {
                     world.Retire(id);
                   }
                 }
                 world.Break(decode);
               }
               CPPUNIT_ASSERT(!world.Attempt("/stream/a")->ended);
             }),
          It("one that an endpoint refused before it broke off",
             [] {
               World world;
               for (int time = 0; time < 4; ++time) {
                 world.Attempt("/stream/a");
                 const auto decode = world.BringToDecode();
                 decode->hooks.on_head(503, {{"Refused", "1"}});
                 world.Break(decode);
                 world.Leave();
               }
               CPPUNIT_ASSERT(!world.Attempt("/stream/a")->ended);
             }),
          It("one of which a peer tells what is long past",
             [] {
               World world;
               world.HearOf("/stream/a", 11min);
               CPPUNIT_ASSERT(!world.Attempt("/stream/a")->ended);
             })}),
     It("is tried again after its quarantine", [] {
       World world;
       for (int crash = 0; crash < 3; ++crash) {
         world.Crash("/stream/a");
       }
       world.Pass(10min);
       CPPUNIT_ASSERT(!world.Attempt("/stream/a")->ended);
     })});

}  // namespace
}  // namespace acacialug::gateway
