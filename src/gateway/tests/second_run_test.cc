#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/event_splitter.h"
#include "gateway/tests/gateway_simulation.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::ForEach;
using acacialug::testing::It;
using testing::Answer;
using testing::Call;
using testing::GatewaySimulation;
using testing::HeaderOf;

// A stream that may resume, at one of three endpoints.
struct Stream : GatewaySimulation {
  Stream() {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    for (const std::string id : {"d1", "d2", "d3"}) {
      this->AddEndpoint(id, "model", EndpointRole::kDecode);
    }
    this->answer = this->SendRequest("/resumable/a", "r1");
    this->decode = this->AdvanceToDecode();
  }

  // The stream has sent events for a second.
  void SendEvents() {
    this->Begin(this->decode);
    for (int number = 0; number < 20; ++number) {
      this->AdvanceBy(50ms);
      this->Event(this->decode, number);
    }
  }

  bool GoesOn() { return this->Find("/reserve/") != nullptr; }

  // The endpoint's answer to the question for the run, once it comes within
  // this time.
  void Report(const std::string& runs, Duration within = 110ms) {
    this->AdvanceBy(within);
    this->Reply(this->Find("/report"), 200, {}, runs);
  }

  std::shared_ptr<Answer> answer;
  std::shared_ptr<Call> decode;
};

struct BreakCase {
  std::string name;
  std::function<void(Stream& stream)> end;
};

const std::vector<BreakCase> kBreaks = {
    {"its answer can't be read",
     [](Stream& stream) {
       stream.Break(stream.decode, true, ResultCode::kMalformedAnswer);
     }},
    {"its connection is reset",
     [](Stream& stream) { stream.Break(stream.decode); }},
    {"its connection ends inside an event",
     [](Stream& stream) {
       stream.decode->hooks.on_unframed();
       stream.decode->hooks.on_data("id: 20\nda");
       stream.End(stream.decode);
     }},
    {"an event is too long",
     [](Stream& stream) {
       stream.decode->hooks.on_data(
           std::string(EventSplitter::kMaxEventBytes + 1, 'x'));
       stream.core->OnTimer();
     }},
    {"it is sent the answer to another request",
     [](Stream& stream) {
       stream.decode->hooks.on_head(200, {{"Id", "r9"}, {"Proof", "1"}});
       stream.End(stream.decode);
     }},
    {"it is silent, is left, and then its answer can't be read",
     [](Stream& stream) {
       stream.AdvanceBy(1100ms);
       stream.Reply(stream.Find("/reserve/"), 200, {}, "r2");
       stream.Break(stream.decode, true, ResultCode::kMalformedAnswer);
     }}};

const acacialug::testing::Story kSecondRuns(
    "a stream that goes on elsewhere",
    {ForEach<BreakCase>(
         "begins there when its endpoint no longer works on it, though",
         kBreaks,
         [](const BreakCase& row) { return row.name; },
         [](const BreakCase& row) {
           // Guards against a request that two endpoints work on at the same
           // time.
           Stream stream;
           stream.SendEvents();
           row.end(stream);
           for (int asked = 0; asked < 8; ++asked) {
             CPPUNIT_ASSERT(!stream.GoesOn());
             stream.Report("r1");
           }
           CPPUNIT_ASSERT(!stream.GoesOn());
           stream.Report("no runs");
           CPPUNIT_ASSERT(stream.GoesOn());
           CPPUNIT_ASSERT_EQUAL(
               std::string("19"),
               HeaderOf(stream.AdvanceToDecode(), "Resume-After"));
         }),
     It("is not believed to have ended by a report that may be older than it",
        [] {
          // Guards against a second run beside one that is too young to be in
          // its endpoint's report.
          Stream stream;
          stream.AdvanceBy(30ms);
          stream.Break(stream.decode, true, ResultCode::kMalformedAnswer);
          stream.Report("no runs");
          CPPUNIT_ASSERT(!stream.GoesOn());
          stream.Report("r1", 500ms);
          CPPUNIT_ASSERT(!stream.GoesOn());
          stream.Report("no runs");
          CPPUNIT_ASSERT(stream.GoesOn());
        }),
     It("begins there at once when its endpoint has ended",
        [] {
          Stream stream;
          stream.SendEvents();
          stream.Break(stream.decode);
          stream.RefuseQuestions();
          CPPUNIT_ASSERT(stream.GoesOn());
        }),
     It("begins there at once after its endpoint's own failure",
        [] {
          Stream stream;
          stream.ReplyProof(stream.decode, 500, "f");
          CPPUNIT_ASSERT(stream.GoesOn());
        }),
     It("begins there when its endpoint, which rejects the question at first, "
        "no longer works on it",
        [] {
          Stream stream;
          stream.SendEvents();
          stream.Break(stream.decode);
          stream.AdvanceBy(1ms);
          stream.Reply(stream.Find("/report"), 503, {{"Refused", "1"}}, "");
          CPPUNIT_ASSERT(!stream.GoesOn());
          stream.Report("r1");
          CPPUNIT_ASSERT(!stream.GoesOn());
          stream.Report("no runs");
          CPPUNIT_ASSERT(stream.GoesOn());
        }),
     It("begins there though its endpoint does not answer",
        [] {
          Stream stream;
          stream.SendEvents();
          stream.Break(stream.decode);
          stream.AdvanceBy(1850ms);
          CPPUNIT_ASSERT(stream.GoesOn());
        }),
     It("is cut off early enough for its caller to return, if its endpoint "
        "works on",
        [] {
          // Guards against a stream that stays silent until its caller gives
          // up.
          Stream stream;
          stream.SendEvents();
          stream.Break(stream.decode);
          const Instant broken_at = stream.now;
          while (!stream.answer->ended) {
            stream.Report("r1");
          }
          CPPUNIT_ASSERT(stream.answer->cut);
          CPPUNIT_ASSERT(!stream.GoesOn());
          CPPUNIT_ASSERT(stream.now - broken_at <= 2s);
          CPPUNIT_ASSERT(stream.core->OwnLoad().rows.empty());
        }),
     It("asks nothing more once its caller has left", [] {
       Stream stream;
       stream.SendEvents();
       stream.Break(stream.decode);
       stream.Report("r1");
       stream.Disconnect();
       stream.AdvanceBy(3s);
       CPPUNIT_ASSERT(stream.Calls().empty());
       CPPUNIT_ASSERT(stream.core->OwnLoad().rows.empty());
     })});

}  // namespace
}  // namespace acacialug::gateway
