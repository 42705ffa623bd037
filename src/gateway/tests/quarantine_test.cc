#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <functional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/request_key.h"
#include "gateway/tests/gateway_simulation.h"
#include "placement/types/hashing.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using acacialug::testing::Section;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;
using AnswerPtr = std::shared_ptr<Answer>;

constexpr int kEndpoints = 8;

// Endpoints that prefill, decode, and answer plain requests.
struct PoolSimulation : GatewaySimulation {
  PoolSimulation() {
    this->Configure();
    for (int number = 0; number < kEndpoints; ++number) {
      const std::string name = std::to_string(number);
      this->AddEndpoint("f" + name, "model", EndpointRole::kPrefill);
      this->AddEndpoint("d" + name, "model", EndpointRole::kDecode);
      this->AddEndpoint("p" + name, "plain", EndpointRole::kPlain);
    }
  }

  AnswerPtr Attempt(const std::string& path) {
    return this->SendRequest(path, "r" + std::to_string(++this->attempts));
  }

  // An attempt under which its decode endpoint ends.
  void Crash(const std::string& path) {
    this->Attempt(path);
    this->Break(this->AdvanceToDecode());
  }

  // A peer reports three endpoints that ended under a request.
  void ReceivePeerReport(const std::string& path, Duration age = 0ms) {
    this->core->SetPeerCrash(
        {.request =
             RequestKeyOf({.host = "h.example",
                           .message = {.method = "POST", .target = path}}),
         .ends = {{1, 1}, {2, 2}, {3, 3}},
         .age = age});
  }

  int attempts = 0;
};

// The phase of a request in which endpoints end under it, until three have
// ended.
struct PhaseCase {
  std::string name;
  std::string path;
  std::function<void(PoolSimulation&)> crashes;
};

const std::vector<PhaseCase> kPhases = {
    {"while it decodes, one in each attempt", "/stream/a",
     [](PoolSimulation& simulation) {
       for (int crash = 0; crash < 3; ++crash) {
         simulation.Crash("/stream/a");
       }
     }},
    {"while it decodes, two of them in one attempt", "/resumable/a",
     [](PoolSimulation& simulation) {
       simulation.Crash("/resumable/a");
       simulation.Break(simulation.AdvanceToDecode());
       simulation.Crash("/resumable/a");
     }},
    {"in the middle of its stream", "/stream/a",
     [](PoolSimulation& simulation) {
       for (int crash = 0; crash < 3; ++crash) {
         simulation.Attempt("/stream/a");
         const auto decode = simulation.AdvanceToDecode();
         simulation.Begin(decode);
         simulation.Event(decode, 0);
         simulation.Break(decode);
       }
     }},
    {"while its prompt is computed", "/stream/a",
     [](PoolSimulation& simulation) {
       for (int crash = 0; crash < 3; ++crash) {
         simulation.Attempt("/stream/a");
         simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
         simulation.Break(simulation.Find("prefill"));
         simulation.Disconnect();
       }
     }},
    {"of plain requests that may run again", "/idempotent/a",
     [](PoolSimulation& simulation) {
       simulation.Attempt("/idempotent/a");
       simulation.Break(simulation.Find("/idempotent/a"));
       simulation.Break(simulation.Find("/idempotent/a"));
       simulation.Attempt("/idempotent/a");
       simulation.Break(simulation.Find("/idempotent/a"));
     }},
    {"of plain requests that run once", "/once/a",
     [](PoolSimulation& simulation) {
       for (int crash = 0; crash < 3; ++crash) {
         simulation.Attempt("/once/a");
         simulation.Break(simulation.Find("/once/a"));
       }
     }},
    {"at peers", "/stream/a", [](PoolSimulation& simulation) {
       simulation.ReceivePeerReport("/stream/a");
     }}};

// The state of a request when a peer reports that three endpoints ended under
// it.
struct PeerReportCase {
  std::string name;
  std::function<AnswerPtr(PoolSimulation&)> prepare;
  std::function<void(PoolSimulation&)> proceed;
  int status = 503;
};

const std::vector<PeerReportCase> kPeerReportCases = {
    {"while it waits for a slot",
     [](PoolSimulation& simulation) {
       for (int number = 0; number < kEndpoints; ++number) {
         simulation.RemoveEndpoint("d" + std::to_string(number));
       }
       return simulation.Attempt("/stream/a");
     },
     [](PoolSimulation& simulation) {
       simulation.AddEndpoint("late", "model", EndpointRole::kDecode);
     }},
    {"while it requests memory",
     [](PoolSimulation& simulation) { return simulation.Attempt("/stream/a"); },
     [](PoolSimulation& simulation) {
       simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
       CPPUNIT_ASSERT_EQUAL(std::string("/reserve/v"),
                            simulation.released.back());
     }},
    {"while it is refused memory",
     [](PoolSimulation& simulation) { return simulation.Attempt("/stream/a"); },
     [](PoolSimulation& simulation) {
       simulation.Reply(simulation.Find("/reserve/"), 503, {});
     }},
    {"while its prompt is computed",
     [](PoolSimulation& simulation) {
       auto answer = simulation.Attempt("/stream/a");
       simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
       return answer;
     },
     [](PoolSimulation& simulation) {
       simulation.Reply(simulation.Find("prefill"), 200, {}, "x1");
       CPPUNIT_ASSERT_EQUAL(
           std::ptrdiff_t{1},
           std::count(simulation.released.begin(), simulation.released.end(),
                      "/export/x1"));
     }},
    {"before its prefill fails",
     [](PoolSimulation& simulation) {
       auto answer = simulation.Attempt("/stream/a");
       simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
       return answer;
     },
     [](PoolSimulation& simulation) {
       simulation.Reply(simulation.Find("prefill"), 500, {});
     }},
    {"before its decode endpoint rejects it",
     [](PoolSimulation& simulation) {
       auto answer = simulation.Attempt("/stream/a");
       simulation.AdvanceToDecode();
       return answer;
     },
     [](PoolSimulation& simulation) {
       simulation.ReplyRefused(simulation.Find("decode"));
     }},
    {"before its decode endpoint is lost",
     [](PoolSimulation& simulation) {
       auto answer = simulation.Attempt("/resumable/a");
       simulation.AdvanceToDecode();
       return answer;
     },
     [](PoolSimulation& simulation) {
       simulation.Break(simulation.Find("decode"));
     },
     502},
    {"before a plain endpoint rejects it",
     [](PoolSimulation& simulation) { return simulation.Attempt("/once/a"); },
     [](PoolSimulation& simulation) {
       simulation.ReplyRefused(simulation.Find("/once/a"));
     }},
    {"before a plain endpoint is lost",
     [](PoolSimulation& simulation) {
       return simulation.Attempt("/idempotent/a");
     },
     [](PoolSimulation& simulation) {
       simulation.Break(simulation.Find("/idempotent/a"));
     },
     502},
    {"before a plain endpoint fails",
     [](PoolSimulation& simulation) {
       return simulation.Attempt("/idempotent/a");
     },
     [](PoolSimulation& simulation) {
       simulation.ReplyProof(simulation.Find("/idempotent/a"), 500);
     },
     500}};

const acacialug::testing::Story kStory(
    "a request under which endpoints end",
    {It("is refused at once after the third, in whichever attempt it comes",
        [] {
          // Guards against a request that ends one endpoint after the other.
          PoolSimulation simulation;
          for (int crash = 0; crash < 3; ++crash) {
            simulation.Crash("/stream/a");
          }
          const auto answer = simulation.SendRequest("/stream/a", "again");
          CPPUNIT_ASSERT_EQUAL(503, answer->status);
          CPPUNIT_ASSERT(simulation.Calls().empty());
        }),
     ForEach<PhaseCase>(
         "is sent nowhere after three have ended",
         kPhases,
         [](const PhaseCase& row) { return row.name; },
         [](const PhaseCase& row) {
           PoolSimulation simulation;
           row.crashes(simulation);
           CPPUNIT_ASSERT_MESSAGE("nothing is under way",
                                  simulation.Calls().empty());
           const auto answer = simulation.Attempt(row.path);
           CPPUNIT_ASSERT_EQUAL(503, answer->status);
           CPPUNIT_ASSERT(std::stod(answer->retry_after) > 590);
           CPPUNIT_ASSERT(simulation.Calls().empty());
           CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                simulation.core->requests_quarantined());
         }),
     ForEach<PeerReportCase>(
         "is sent nowhere once a peer reports the third",
         kPeerReportCases,
         [](const PeerReportCase& row) { return row.name; },
         [](const PeerReportCase& row) {
           PoolSimulation simulation;
           const auto answer = row.prepare(simulation);
           for (const char* const path :
                {"/stream/a", "/resumable/a", "/idempotent/a", "/once/a"}) {
             simulation.ReceivePeerReport(path);
           }
           row.proceed(simulation);
           CPPUNIT_ASSERT_EQUAL(row.status, answer->status);
           CPPUNIT_ASSERT(simulation.Calls().empty());
           CPPUNIT_ASSERT(simulation.core->OwnLoad().rows.empty());
         }),
     It("keeps running, responsive or not, when a peer reports the third",
        [] {
          PoolSimulation simulation;
          const auto answer = simulation.Attempt("/resumable/a");
          const auto decode = simulation.AdvanceToDecode();
          simulation.Begin(decode);
          simulation.Event(decode, 0);
          simulation.ReceivePeerReport("/resumable/a");
          simulation.AdvanceBy(3s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.Calls().size());
          simulation.Event(decode, 1);
          simulation.End(decode);
          CPPUNIT_ASSERT(answer->ended && !answer->cut);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_quarantined());
        }),
     Section(
         "does not affect",
         {It("another request of the same caller",
             [] {
               PoolSimulation simulation;
               for (int crash = 0; crash < 3; ++crash) {
                 simulation.Crash("/stream/a");
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/stream/b")->ended);
             }),
          It("a request beside it at two endpoints that continues at a third",
             [] {
               // Guards against refusing a request for the crashes of
               // other requests.
               PoolSimulation simulation;
               const auto first = simulation.Attempt("/resumable/b");
               simulation.Break(simulation.AdvanceToDecode());
               simulation.Break(simulation.AdvanceToDecode());
               CPPUNIT_ASSERT_EQUAL(502, first->status);
               const auto second = simulation.Attempt("/resumable/b");
               const auto decode = simulation.AdvanceToDecode();
               simulation.Begin(decode);
               simulation.Event(decode, 0);
               simulation.End(decode);
               CPPUNIT_ASSERT(second->ended && !second->cut);
               // The answer clears the earlier ends.
               simulation.Crash("/resumable/b");
               simulation.RefuseQuestions();
               CPPUNIT_ASSERT(simulation.Find("/reserve/") != nullptr);
             }),
          It("a request under which three endpoints ended in one attempt",
             [] {
               // Guards against refusing a request for the crashes of
               // other requests.
               PoolSimulation simulation;
               const auto first = simulation.Attempt("/resumable/b");
               simulation.Reply(simulation.Find("/reserve/"), 200, {}, "v");
               simulation.Break(simulation.Find("prefill"));
               simulation.Break(simulation.AdvanceToDecode());
               simulation.Break(simulation.AdvanceToDecode());
               CPPUNIT_ASSERT_EQUAL(502, first->status);
               CPPUNIT_ASSERT(!simulation.Attempt("/resumable/b")->ended);
             }),
          It("requests that look the same when many endpoints end at once",
             [] {
               // Guards against refusing every request of a kind.
               PoolSimulation simulation;
               simulation.Attempt("/idempotent/a");
               simulation.ReplyProof(simulation.Find("/idempotent/a"), 200,
                                     "ok");
               for (int crash = 0; crash < 3; ++crash) {
                 simulation.Attempt("/idempotent/a");
                 simulation.Break(simulation.Find("/idempotent/a"));
                 simulation.Break(simulation.Find("/idempotent/a"));
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/idempotent/a")->ended);
             }),
          It("a request that endpoints refused, or that never reached one",
             [] {
               PoolSimulation simulation;
               for (int time = 0; time < 4; ++time) {
                 simulation.Attempt("/once/a");
                 simulation.Break(simulation.Find("/once/a"), false);
                 simulation.ReplyRefused(simulation.Find("/once/a"));
                 simulation.Disconnect();
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/once/a")->ended);
             }),
          It("a request that endpoints answered with what is no HTTP",
             [] {
               // Guards against refusing a sound request for the faults of
               // endpoints that answer, and so have not ended.
               PoolSimulation simulation;
               for (int time = 0; time < 4; ++time) {
                 simulation.Attempt("/once/a");
                 simulation.Break(simulation.Find("/once/a"), true,
                                  ResultCode::kMalformedAnswer);
                 simulation.Attempt("/stream/a");
                 simulation.Break(simulation.AdvanceToDecode(), true,
                                  ResultCode::kMalformedAnswer);
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/once/a")->ended);
               CPPUNIT_ASSERT(!simulation.Attempt("/stream/a")->ended);
               CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                    simulation.core->requests_quarantined());
             }),
          It("a request whose endpoints leave as ordered",
             [] {
               // Guards against refusing requests that a replacement of
               // endpoints interrupts.
               PoolSimulation simulation;
               for (int time = 0; time < 3; ++time) {
                 simulation.Attempt("/stream/a");
                 const auto decode = simulation.AdvanceToDecode();
                 for (int number = 0; number < kEndpoints; ++number) {
                   const std::string id = "d" + std::to_string(number);
                   if (decode->address == simulation.addresses.at(id)) {
                     simulation.Retire(id);
                   }
                 }
                 simulation.Break(decode);
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/stream/a")->ended);
             }),
          It("a request that an endpoint refused before it broke off",
             [] {
               PoolSimulation simulation;
               for (int time = 0; time < 4; ++time) {
                 simulation.Attempt("/stream/a");
                 const auto decode = simulation.AdvanceToDecode();
                 decode->hooks.on_head(503, {{"Refused", "1"}});
                 simulation.Break(decode);
                 simulation.Disconnect();
               }
               CPPUNIT_ASSERT(!simulation.Attempt("/stream/a")->ended);
             }),
          It("a request for which a peer reports ends that are long past",
             [] {
               PoolSimulation simulation;
               simulation.ReceivePeerReport("/stream/a", 11min);
               CPPUNIT_ASSERT(!simulation.Attempt("/stream/a")->ended);
             })}),
     It("is tried again after its quarantine", [] {
       PoolSimulation simulation;
       for (int crash = 0; crash < 3; ++crash) {
         simulation.Crash("/stream/a");
       }
       simulation.AdvanceBy(10min);
       CPPUNIT_ASSERT(!simulation.Attempt("/stream/a")->ended);
     })});

// Requests of one caller, no two alike.
struct PromptSimulation : PoolSimulation {
  std::shared_ptr<Answer> Ask(const std::vector<std::string>& parts) {
    const std::string id = "p" + std::to_string(++this->attempts);
    return this->SendPrompt("/stream/" + id, id, parts);
  }
  // A request under which its decode endpoint ends before it sends an event.
  void CrashWith(const std::vector<std::string>& parts) {
    this->Ask(parts);
    this->Break(this->AdvanceToDecode());
  }
  // Three endpoints end under the part "deadly", and the users' bound passes.
  void Quarantine() {
    for (int end = 0; end < 3; ++end) {
      this->CrashWith({"caller", "deadly"});
      this->BeginWith({"caller", "sound"});
      this->BeginWith({"caller", "other"});
    }
    this->AdvanceBy(3s);
  }
  // A peer reports that a part is in quarantine.
  void ReceiveConfirmed(const std::string& part) const {
    this->core->SetPeerCrash(
        {.request = retry::RequestKey(placement::HashText(part)),
         .ends = {{1, 1}, {2, 2}, {3, 3}},
         .subject = retry::CrashSubject::kPart,
         .confirmed = true});
  }
  // A request that begins an answer.
  void BeginWith(const std::vector<std::string>& parts) {
    this->Ask(parts);
    const auto decode = this->AdvanceToDecode();
    this->Begin(decode);
    this->Event(decode, 0);
  }
};

// Guards against requests that end endpoint after endpoint, no two alike.
const acacialug::testing::Story kParts(
    "a part of prompts under which endpoints ended",
    {It("is refused at once in a request that nobody sent before",
        [] {
          PromptSimulation simulation;
          simulation.Quarantine();
          const auto refused = simulation.Ask({"caller", "deadly"});
          CPPUNIT_ASSERT_EQUAL(503, refused->status);
          CPPUNIT_ASSERT(!refused->retry_after.empty());
          const auto sound = simulation.Ask({"caller", "sound"});
          CPPUNIT_ASSERT(!sound->ended);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               simulation.core->parts_quarantined());
        }),
     It("ends requests with it that wait",
        [] {
          PromptSimulation simulation;
          const auto waiting =
              simulation.SendPrompt("/resumable/a", "r", {"caller", "deadly"});
          const auto decode = simulation.AdvanceToDecode();
          for (int number = 0; number < kEndpoints; ++number) {
            simulation.RemoveEndpoint("d" + std::to_string(number));
          }
          simulation.Break(decode);
          simulation.RefuseQuestions();
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               simulation.core->requests_waiting());
          simulation.ReceiveConfirmed("deadly");
          simulation.AdvanceBy(5ms);
          CPPUNIT_ASSERT(waiting->ended);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->requests_waiting());
        }),
     It("is tried once more by the first process only, and released by an "
        "answer",
        [] {
          // Guards against a part that is refused for long by mistake.
          PromptSimulation simulation;
          simulation.Quarantine();
          simulation.AdvanceBy(5s);
          CPPUNIT_ASSERT_EQUAL(503,
                               simulation.Ask({"caller", "deadly"})->status);
          simulation.core->SetPeers(0, true);
          simulation.BeginWith({"caller", "deadly"});
          CPPUNIT_ASSERT(!simulation.Ask({"caller", "deadly"})->ended);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               simulation.core->parts_quarantined());
        }),
     It("is not tried again when an endpoint ends under it",
        [] {
          PromptSimulation simulation;
          simulation.Quarantine();
          simulation.AdvanceBy(5s);
          simulation.core->SetPeers(0, true);
          simulation.CrashWith({"caller", "deadly"});
          simulation.AdvanceBy(1min);
          CPPUNIT_ASSERT_EQUAL(503,
                               simulation.Ask({"caller", "deadly"})->status);
        }),
     It("does not count for an endpoint that had begun the answer", [] {
       // Guards against parts that are blamed for what others at the endpoint
       // did.
       PromptSimulation simulation;
       for (int end = 0; end < 4; ++end) {
         simulation.Ask({"caller", "sound"});
         const auto decode = simulation.AdvanceToDecode();
         simulation.Begin(decode);
         simulation.Event(decode, 0);
         simulation.Break(decode);
         simulation.BeginWith({"caller", "other"});
       }
       simulation.AdvanceBy(3s);
       CPPUNIT_ASSERT(!simulation.Ask({"caller", "sound"})->ended);
     })});

}  // namespace
}  // namespace acacialug::gateway
