#include <cppunit/extensions/HelperMacros.h>

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
using testing::Call;
using testing::GatewaySimulation;
using testing::HeaderOf;

// A service with an engine and one without, of two endpoints each that answer.
struct Site : GatewaySimulation {
  Site() {
    this->Configure();
    this->AddEndpoint("f1", "model", EndpointRole::kPrefill);
    this->AddEndpoint("d1", "model", EndpointRole::kDecode);
    this->AddEndpoint("d2", "model", EndpointRole::kDecode);
    this->AddEndpoint("p1", "plain", EndpointRole::kPlain);
    this->AddEndpoint("p2", "plain", EndpointRole::kPlain);
  }

  // The answer's head, which names this media type unless it is empty.
  static void BeginAs(const std::shared_ptr<Call>& call,
                      const std::string& media_type) {
    http::Headers head = {{"Proof", "1"}};
    if (!media_type.empty()) {
      head.push_back({"Content-Type", media_type});
    }
    call->hooks.on_head(200, head);
  }

  // The answer's body in two pieces, and its end.
  void SendBody(const std::shared_ptr<Call>& call, const std::string& body) {
    const auto on_data = call->hooks.on_data;
    on_data(body.substr(0, body.size() / 2));
    on_data(body.substr(body.size() / 2));
    this->End(call);
  }
};

struct BodyCase {
  std::string name;
  std::string body;
  std::string media_type;
};

// Bodies of which some would lose parts if they were read as events.
const std::vector<BodyCase> kBodies = {
    {"records that begin with falling ids",
     "id: 9\ntitle: a\n\nid: 4\ntitle: b\n\nid: 7\ntitle: c", "text/plain"},
    {"records without a media type", "id: 9\nx\n\nid: 9\ny\n\n", ""},
    {"a line that is longer than any event",
     std::string((std::size_t{3} << 20) / 2, 'x'), "application/json"},
    {"events", "id: 3\ndata: x\n\nid: 8\ndata: y\n\n", "text/event-stream"},
    {"lines that begin with a colon", ":a\r\n\r\n:b\r\n\r\n", "text/plain"},
    {"nothing", "", "text/plain"}};

const acacialug::testing::Story kAnswerForms(
    "an answer",
    {Section(
         "on a route of plain requests, from a service with an engine,",
         {ForEach<BodyCase>(
              "is forwarded unchanged if it consists of",
              kBodies,
              [](const BodyCase& row) { return row.name; },
              [](const BodyCase& row) {
                // Guards against parts of a body that are left out of a whole
                // answer, since they look like events received before.
                for (const std::string path : {"/listing/", "/listing-once/"}) {
                  Site site;
                  const auto answer = site.SendRequest(path, "r1");
                  const auto decode = site.AdvanceToDecode();
                  Site::BeginAs(decode, row.media_type);
                  CPPUNIT_ASSERT_EQUAL(0, answer->status);
                  site.SendBody(decode, row.body);
                  CPPUNIT_ASSERT_EQUAL(200, answer->status);
                  CPPUNIT_ASSERT(answer->ended && !answer->cut);
                  CPPUNIT_ASSERT(answer->body == row.body);
                }
              }),
          It("begins anew elsewhere if it breaks off and may run again",
             [] {
               // Guards against parts of two answers in one.
               Site site;
               const auto answer = site.SendRequest("/listing/", "r1");
               const auto decode = site.AdvanceToDecode();
               Site::BeginAs(decode, "text/plain");
               decode->hooks.on_data("id: 1\na\n\nid: 2\n");
               site.Break(decode);
               CPPUNIT_ASSERT_EQUAL(0, answer->status);
               const auto other = site.AdvanceToDecode();
               CPPUNIT_ASSERT(!(other->address == decode->address));
               CPPUNIT_ASSERT_EQUAL(std::string(),
                                    HeaderOf(other, "Resume-After"));
               Site::BeginAs(other, "text/plain");
               site.SendBody(other, "id: 5\nb\n\nid: 1\nc");
               CPPUNIT_ASSERT_EQUAL(std::string("id: 5\nb\n\nid: 1\nc"),
                                    answer->body);
             }),
          It("has an unknown outcome if it breaks off and may run once",
             [] {
               Site site;
               const auto answer = site.SendRequest("/listing-once/", "r1");
               const auto decode = site.AdvanceToDecode();
               Site::BeginAs(decode, "text/plain");
               decode->hooks.on_data("id: 1\na\n\nid: 2\n");
               site.Break(decode);
               CPPUNIT_ASSERT_EQUAL(502, answer->status);
             }),
          It("is awaited for as long as its generation takes",
             [] {
               // Guards against a request that is sent elsewhere because its
               // answer has no first event.
               Site site;
               const auto answer =
                   site.SendRequest("/listing/", "r1", "3000,4000");
               const auto decode = site.AdvanceToDecode();
               site.AdvanceBy(3s);
               CPPUNIT_ASSERT(!decode->cancelled && !decode->left);
               Site::BeginAs(decode, "text/plain");
               site.SendBody(decode, "late");
               CPPUNIT_ASSERT_EQUAL(std::string("late"), answer->body);
             })}),
     It("of a request that was under way when its route moved is that of the "
        "former service",
        [] {
          // Guards against a configuration that changes how answers under way
          // are read.
          Site site;
          site.listing_service = "plain";
          site.Configure();
          const auto former = site.SendRequest("/listing/", "r1");
          const auto call = site.Find("/listing/");
          site.listing_service = "model";
          site.Configure();
          const auto moved = site.SendRequest("/listing/", "r2");
          const auto decode = site.AdvanceToDecode();
          for (const auto& [asked, answer] :
               {std::pair(call, former), std::pair(decode, moved)}) {
            Site::BeginAs(asked, "text/plain");
            site.SendBody(asked, "id: 2\na\n\nid: 1\nb\n\n");
            CPPUNIT_ASSERT_EQUAL(std::string("id: 2\na\n\nid: 1\nb\n\n"),
                                 answer->body);
          }
        }),
     Section("on a route of streams, from a service without an engine,",
             {It("is forwarded event by event",
                 [] {
                   // Guards against a stream whose first event waits for its
                   // last.
                   for (const std::string path : {"/feed/", "/feed-once/"}) {
                     Site site;
                     const auto answer = site.SendRequest(path, "r1");
                     const auto call = site.Find(path);
                     CPPUNIT_ASSERT_EQUAL(std::string("whole"),
                                          HeaderOf(call, "Step"));
                     Site::BeginAs(call, "Text/Event-Stream; charset=utf-8");
                     site.Event(call, 0);
                     CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: x\n\n"),
                                          answer->body);
                     site.Event(call, 1);
                     site.End(call);
                     CPPUNIT_ASSERT(answer->ended && !answer->cut);
                   }
                 }),
              It("goes on elsewhere after its last event if it may",
                 [] {
                   Site site;
                   const auto answer = site.SendRequest("/feed/", "r1");
                   const auto call = site.Find("/feed/");
                   site.Begin(call);
                   site.Event(call, 0);
                   site.Break(call);
                   site.RefuseQuestions();
                   const auto other = site.Find("/feed/");
                   CPPUNIT_ASSERT(!(other->address == call->address));
                   CPPUNIT_ASSERT_EQUAL(std::string("0"),
                                        HeaderOf(other, "Resume-After"));
                   site.Begin(other);
                   site.Event(other, 1);
                   site.End(other);
                   CPPUNIT_ASSERT(answer->ended && !answer->cut);
                 }),
              It("is cut off if it breaks off and may not go on",
                 [] {
                   Site site;
                   const auto answer = site.SendRequest("/feed-once/", "r1");
                   const auto call = site.Find("/feed-once/");
                   site.Begin(call);
                   site.Event(call, 0);
                   site.Break(call);
                   CPPUNIT_ASSERT(answer->cut);
                 }),
              It("is a refusal at once when all endpoints are full",
                 [] {
                   // Guards against a stream that waits for the memory of an
                   // engine that its service doesn't have.
                   Site site;
                   const auto answer = site.SendRequest("/feed/", "r1");
                   while (const auto call = site.Find("/feed/")) {
                     site.ReplyRefused(call);
                   }
                   CPPUNIT_ASSERT_EQUAL(503, answer->status);
                   CPPUNIT_ASSERT(!answer->retry_after.empty());
                   CPPUNIT_ASSERT(site.now == answer->ended_at);
                 })}),
     Section(
         "on a route of streams that is no series of events",
         {It("is forwarded unchanged once it is whole",
             [] {
               const std::string body = "id: 2\na\n\nid: 1\nb";
               for (const std::string path : {"/resumable/", "/feed-once/"}) {
                 Site site;
                 const auto answer = site.SendRequest(path, "r1");
                 const auto call = path == "/resumable/"
                                       ? site.AdvanceToDecode()
                                       : site.Find(path);
                 Site::BeginAs(call, "text/plain");
                 site.SendBody(call, body);
                 CPPUNIT_ASSERT_EQUAL(body, answer->body);
                 CPPUNIT_ASSERT(answer->ended && !answer->cut);
               }
             }),
          It("does not continue a stream", [] {
            // Guards against a body that is appended to events.
            Site site;
            const auto answer = site.SendRequest("/resumable/", "r1");
            const auto decode = site.AdvanceToDecode();
            site.Begin(decode);
            site.Event(decode, 0);
            site.Break(decode);
            const auto other = site.AdvanceToDecode();
            Site::BeginAs(other, "text/plain");
            site.SendBody(other, "id: 1\nb\n\n");
            CPPUNIT_ASSERT(answer->cut);
            CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: x\n\n"),
                                 answer->body);
          })})});

}  // namespace
}  // namespace acacialug::gateway
