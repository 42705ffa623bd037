#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "entry_process/tests/process_fixture.h"
#include "framework/testing/story.h"
#include "operations/drain_request.h"
#include "operations/requests_page.h"

namespace acacialug::entry_process {
namespace {

using operations::EntryRequests;
using testing::ForEach;
using testing::It;
using testing::WaitUntil;
using trace::StepKind;

std::shared_ptr<Exchange> Operate(Fixture& fixture,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body = {}) {
  auto exchange = fixture.Send({.method = method, .target = path, .body = body},
                               fixture.process->operations_port());
  WaitUntil("a page", [&] { return exchange->Done(); });
  return exchange;
}

EntryRequests ReadPage(Fixture& fixture, const std::string& path) {
  const auto page = Operate(fixture, "GET", path);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(page->body, 200, page->status);
  const auto read = operations::ParseRequestsPage(page->body);
  CPPUNIT_ASSERT_MESSAGE(page->body, read.ok());
  return std::get<EntryRequests>(*read);
}

trace::Trace TraceOf(Fixture& fixture, const Exchange& answer) {
  const EntryRequests page =
      ReadPage(fixture, "/requests/" + answer.Header("X-Request-Id"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.requests.size());
  return page.requests[0];
}

std::vector<StepKind> KindsOf(const trace::Trace& trace) {
  std::vector<StepKind> kinds;
  for (const trace::Step& step : trace.steps) {
    kinds.push_back(step.kind);
  }
  return kinds;
}

const testing::Story kTraces(
    "an entry's traces",
    {It("show all steps of a generation",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("POST", "/v1/chat/completions", kChat);
          const trace::Trace trace = TraceOf(fixture, *answer);
          CPPUNIT_ASSERT(
              (KindsOf(trace) ==
               std::vector<StepKind>{
                   StepKind::kArrived, StepKind::kQueued, StepKind::kDispatched,
                   StepKind::kReserveSent, StepKind::kReserved,
                   StepKind::kPrefillStarted, StepKind::kPrefilled,
                   StepKind::kDecodeStarted, StepKind::kFirstToken,
                   StepKind::kReleased, StepKind::kDecodeEnded}));
          CPPUNIT_ASSERT(trace.outcome == trace::TraceOutcome::kCompleted);
          CPPUNIT_ASSERT(trace.subject.service == "lm");
          CPPUNIT_ASSERT(trace.steps[3].endpoint == EndpointId("d-1"));
          CPPUNIT_ASSERT(trace.steps[5].endpoint == EndpointId("p-1"));
        }),
     It("show a call's steps, and neither its path nor its key",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("GET", "/services/app/secret");
          CPPUNIT_ASSERT(
              (KindsOf(TraceOf(fixture, *answer)) ==
               std::vector<StepKind>{
                   StepKind::kArrived, StepKind::kQueued, StepKind::kDispatched,
                   StepKind::kCallStarted, StepKind::kCallAnswered}));
          const auto page = Operate(
              fixture, "GET", "/requests/" + answer->Header("X-Request-Id"));
          CPPUNIT_ASSERT(page->body.find("secret") == std::string::npos);
        }),
     It("show why a request was refused",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("POST", "/services/app/issue");
          const trace::Trace trace = TraceOf(fixture, *answer);
          CPPUNIT_ASSERT(trace.outcome == trace::TraceOutcome::kNotRun);
          CPPUNIT_ASSERT(trace.code == ResultCode::kKeyRequired);
        }),
     // Guards against a hanging request that operators cannot locate: its
     // decode endpoint is lost in mid-stream, and only ended requests are
     // shown.
     It("show an alive request, and the endpoint that it lost",
        [] {
          std::optional<AttemptId> held;
          Fixture fixture(HoldDecode(held));
          fixture.Send({.method = "POST",
                        .target = "/v1/completions",
                        .body = kStreamed});
          WaitUntil("it", [&] { return held.has_value(); });
          const EntryRequests alive = ReadPage(fixture, "/requests");
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, alive.requests.size());
          CPPUNIT_ASSERT(alive.requests[0].steps.back().kind ==
                         StepKind::kDecodeStarted);
          fixture.decode->SendRaw("no frame of ours");
          const std::string path = "/requests/" + ToString(held->request);
          WaitUntil("the loss", [&] {
            const auto kinds = KindsOf(ReadPage(fixture, path).requests[0]);
            return std::find(kinds.begin(), kinds.end(),
                             StepKind::kEndpointLost) != kinds.end();
          });
        }),
     It("show that a caller has left", [] {
       std::optional<AttemptId> held;
       Fixture fixture(HoldDecode(held));
       const auto left = fixture.Send(
           {.method = "POST", .target = "/v1/completions", .body = kStreamed});
       WaitUntil("it", [&] { return held.has_value(); });
       fixture.client.Cancel(left->id);
       const std::string path = "/requests/" + ToString(held->request);
       WaitUntil("its end", [&] {
         return ReadPage(fixture, path).requests[0].outcome ==
                trace::TraceOutcome::kCallerGone;
       });
       CPPUNIT_ASSERT(ReadPage(fixture, "/requests").requests.empty());
     })});

struct RefusedRow {
  std::string name;
  const char* method;
  std::string path;
  std::string body;
  int status;
  ResultCode code;
};

const testing::Story kRefusals(
    "an entry's operations port",
    {ForEach<RefusedRow>(
        "refuses by number",
        {{"a request that nobody knows", "GET",
          "/requests/00000000000000120000000000000007", "", 404,
          ResultCode::kUnknownRequest},
         {"a malformed id", "GET", "/requests/12", "", 400,
          ResultCode::kInvalidParameter},
         {"another method on requests", "DELETE", "/requests", "", 405,
          ResultCode::kMethodNotAllowed},
         {"another method on drain", "GET", "/drain", "", 405,
          ResultCode::kMethodNotAllowed},
         {"to drain, where it is not allowed", "POST", "/drain",
          R"({"name": "entry-1"})", 403, ResultCode::kNotAllowed}},
        [](const RefusedRow& row) { return row.name; },
        [](const RefusedRow& row) {
          Fixture fixture;
          const auto answer = Operate(fixture, row.method, row.path, row.body);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, row.status,
                                       answer->status);
          CPPUNIT_ASSERT_EQUAL(
              static_cast<int>(row.code),
              nlohmann::json::parse(answer->body)["error"]["number"]
                  .get<int>());
          CPPUNIT_ASSERT_EQUAL(row.status == 405,
                               !answer->Header("Allow").empty());
          CPPUNIT_ASSERT(!fixture.drained_whole);
        })});

const testing::Story kDrain(
    "an entry process that is drained through its operations port",
    {It("says so on /readyz while it still takes requests, then ends whole",
        [] {
          Fixture fixture({}, [](EntryProcessOptions& options) {
            options.allow_drain = true;
            options.drain_delay = 200ms;
          });
          const auto answer =
              Operate(fixture, "POST", "/drain",
                      operations::RenderDrainRequest("entry-1"));
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, 202, answer->status);
          WaitUntil("not ready", [&] {
            return Operate(fixture, "GET", "/readyz")->status == 503;
          });
          CPPUNIT_ASSERT(!fixture.drained_whole);
          WaitUntil("drained",
                    [&] { return fixture.drained_whole.has_value(); });
          CPPUNIT_ASSERT(*fixture.drained_whole);
        }),
     It("answers a second request in the same way", [] {
       Fixture fixture({}, [](EntryProcessOptions& options) {
         options.allow_drain = true;
         options.drain_delay = 200ms;
       });
       for (int turn = 0; turn < 2; ++turn) {
         CPPUNIT_ASSERT_EQUAL(202,
                              Operate(fixture, "POST", "/drain",
                                      operations::RenderDrainRequest("entry-1"))
                                  ->status);
       }
       WaitUntil("drained", [&] { return fixture.drained_whole.has_value(); });
     })});

}  // namespace
}  // namespace acacialug::entry_process
