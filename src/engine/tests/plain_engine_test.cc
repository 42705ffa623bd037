#include "engine/tests/scripted_server.h"
#include "framework/testing/story.h"

namespace acacialug::engine {
namespace {

using protocol::Outcome;
using testing::ForEach;
using testing::It;

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(3),
                         .entry = Incarnation(4)};
const Call kCall{.attempt = kAttempt,
                 .request = {.method = "POST",
                             .target = "/lookup?isbn=1",
                             .headers = {{"X-Printer", "7"},
                                         {"Connection", "X-Private"},
                                         {"X-Private", "1"},
                                         {"Keep-Alive", "5"}},
                             .body = "title"}};

EngineOptions Options(const http::Address& address) {
  return {
      .kind = EngineKind::kPlain, .address = address, .silence_timeout = 20s};
}

bool Has(const std::vector<protocol::HeaderField>& fields,
         std::string_view name) {
  return std::any_of(fields.begin(), fields.end(),
                     [name](const auto& field) { return field.name == name; });
}

struct FaultRow {
  std::string name;
  ScriptedServer::Script script;
};

const testing::Story kPlainStory(
    "a call to a plain service",
    {It("passes on method, target, body and the caller's headers",
        [] {
          ScriptedServer server(
              [](const auto&, const http::ResponderPtr& responder) {
                responder->SendWhole(
                    {.status = 201,
                     .headers = {{"X-Receipt", "9"}, {"Keep-Alive", "5"}},
                     .body = "done"});
              });
          EngineUnderTest under_test(Options(server.address()));
          const auto done = under_test.Await<CallDone>(kCall);
          const http::Request& seen = server.requests[0];
          CPPUNIT_ASSERT(seen.method == "POST" && seen.body == "title");
          CPPUNIT_ASSERT(seen.target == "/lookup?isbn=1");
          CPPUNIT_ASSERT(http::FindHeader(seen.headers, "X-Printer") == "7");
          CPPUNIT_ASSERT(http::FindHeader(seen.headers, "X-Request-Id") ==
                         ToString(kAttempt));
          CPPUNIT_ASSERT(!http::FindHeader(seen.headers, "X-Private"));
          CPPUNIT_ASSERT(!http::FindHeader(seen.headers, "Keep-Alive"));
          CPPUNIT_ASSERT_EQUAL(201, static_cast<int>(done.answer.status));
          CPPUNIT_ASSERT_EQUAL(std::string("done"), done.answer.body);
          CPPUNIT_ASSERT(Has(done.answer.headers, "X-Receipt"));
          CPPUNIT_ASSERT(!Has(done.answer.headers, "Keep-Alive"));
        }),
     It("keeps whether its answer had a length",
        [] {
          // Guards against an entry that vouches for an answer's end.
          for (const bool unframed : {false, true}) {
            ScriptedServer server(
                [unframed](const auto&, const http::ResponderPtr& responder) {
                  responder->SendWhole({.body = "done", .unframed = unframed});
                });
            EngineUnderTest under_test(Options(server.address()));
            CPPUNIT_ASSERT_EQUAL(
                unframed, under_test.Await<CallDone>(kCall).answer.unframed);
          }
        }),
     It("counts as completed when the service answers 500",
        [] {
          ScriptedServer server([](const auto&, const auto& responder) {
            responder->SendWhole({.status = 500});
          });
          EngineUnderTest under_test(Options(server.address()));
          const auto done = under_test.Await<CallDone>(kCall);
          CPPUNIT_ASSERT_EQUAL(500, static_cast<int>(done.answer.status));
        }),
     ForEach<FaultRow>(
         "has an unknown outcome when the service",
         {{"cuts the connection without an answer",
           [](const auto&, const auto& responder) { responder->Abort(); }},
          {"cuts the connection within its answer",
           [](const auto&, const auto& responder) {
             responder->BeginStream(200, {});
             responder->SendData("half");
             responder->Abort();
           }},
          {"stays silent", [](const auto&, const auto&) {}}},
         [](const FaultRow& row) { return row.name; },
         [](const FaultRow& row) {
           ScriptedServer server(row.script);
           EngineOptions options = Options(server.address());
           options.silence_timeout = 50ms;
           EngineUnderTest under_test(options);
           const auto failed = under_test.Await<AttemptFailed>(kCall);
           CPPUNIT_ASSERT(failed.code == ResultCode::kEngineFailed);
           CPPUNIT_ASSERT(failed.outcome == Outcome::kUnknown);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
         }),
     It("did not run when no server listens",
        [] {
          EngineUnderTest under_test(Options(ClosedAddress()));
          const auto failed = under_test.Await<AttemptFailed>(kCall);
          CPPUNIT_ASSERT(failed.code == ResultCode::kEngineUnavailable);
          CPPUNIT_ASSERT(failed.outcome == Outcome::kNotRun);
        }),
     It("is cut by an abort and then sends no event",
        [] {
          ScriptedServer server([](const auto&, const auto&) {});
          EngineUnderTest under_test(Options(server.address()));
          under_test.engine->Execute(kCall);
          RunUntil([&] { return !server.responders.empty(); });
          under_test.engine->Execute(Abort{.attempt = kAttempt});
          RunUntil([&] { return server.responders[0]->gone(); });
          CPPUNIT_ASSERT(under_test.events.empty());
        }),
     It("is all that a plain service does; it holds nothing", [] {
       EngineUnderTest under_test(Options(ClosedAddress()));
       CPPUNIT_ASSERT(under_test.Await<Held>(ListHeld{}).attempts.empty());
       for (const EngineCommand& command :
            {EngineCommand(Prefill{}), EngineCommand(Decode{})}) {
         under_test.events.clear();
         const auto failed = under_test.Await<AttemptFailed>(command);
         CPPUNIT_ASSERT(failed.code == ResultCode::kWrongRole);
         CPPUNIT_ASSERT(failed.outcome == Outcome::kNotRun);
       }
     })});

}  // namespace
}  // namespace acacialug::engine
