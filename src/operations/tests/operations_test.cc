#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"
#include "operations/drain_request.h"
#include "operations/requests_page.h"

namespace acacialug::operations {
namespace {

using testing::ForEach;
using testing::It;

const RequestId kRequest{.high = 0x12, .low = 0xffffffffffffffff};

EntryRequests OneTrace() {
  trace::Trace trace{.subject = {.request = kRequest,
                                 .kind = trace::RequestKind::kCall,
                                 .service = "lm",
                                 .latency_class = "interactive"},
                     .outcome = trace::TraceOutcome::kUnknown,
                     .code = ResultCode::kEndpointLost,
                     .age = 9s,
                     .took = 5ms,
                     .steps_left_out = 2};
  for (const auto& [kind, name] : trace::kStepKindNames) {
    trace::Step step{.kind = kind, .at = 3ms};
    if (kind == trace::StepKind::kRefused) {
      step.phase = protocol::Phase::kPrefill;
      step.code = ResultCode::kOverloaded;
      step.amount = 2000;
    }
    if (kind == trace::StepKind::kReserveSent) {
      step.endpoint = EndpointId("d-1");
      step.attempt = AttemptNumber(4);
      step.amount = 77;
    }
    trace.steps.push_back(step);
  }
  return {.entry = EntryId("entry-1"),
          .counts = {.kept = 5,
                     .alive = 1,
                     .bytes = 100,
                     .dropped = 2,
                     .not_traced = 3,
                     .steps_left_out = 4},
          .requests = {trace}};
}

AgentRequests TwoHeld() {
  return {.endpoint = EndpointId("d-1"),
          .attempts = {{.attempt = {.request = kRequest,
                                    .attempt = AttemptNumber(2),
                                    .entry = Incarnation(0xfffffffffffffff0)},
                        .kind = agent::HeldKind::kStream,
                        .age = 1500us},
                       {.kind = agent::HeldKind::kQueuedCall}}};
}

struct BadRow {
  std::string name;
  std::string text;
};

const testing::Story kPages(
    "a page of requests",
    {It("of an entry reads back from its own text, every kind of step",
        [] {
          const auto read = ParseRequestsPage(RenderRequestsPage(OneTrace()));
          CPPUNIT_ASSERT_MESSAGE(read.ok() ? "" : read.error().detail,
                                 read.ok());
          CPPUNIT_ASSERT(*read == RequestsPage(OneTrace()));
        }),
     It("of an agent reads back from its own text",
        [] {
          const auto read = ParseRequestsPage(RenderRequestsPage(TwoHeld()));
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT(*read == RequestsPage(TwoHeld()));
        }),
     ForEach<BadRow>(
         "is refused by number when it is",
         {{"not JSON", "<html>"},
          {"empty", ""},
          {"another kind of JSON", "[1]"},
          {"without its rows", R"({"endpoint": "d-1"})"},
          {"with a row of another type",
           R"({"endpoint": "d-1", "attempts": [7]})"},
          {"with an unknown name",
           R"({"endpoint": "d-1", "attempts": [{"request":
              "00000000000000120000000000000007", "attempt": 1,
              "entry_incarnation": "1", "holds": "beer", "age_us": 1}]})"},
          {"with an invalid request id",
           R"({"endpoint": "d-1", "attempts": [{"request": "7", "attempt": 1,
              "entry_incarnation": "1", "holds": "call", "age_us": 1}]})"}},
         [](const BadRow& row) { return row.name; },
         [](const BadRow& row) {
           const auto read = ParseRequestsPage(row.text);
           CPPUNIT_ASSERT(!read.ok());
           CPPUNIT_ASSERT(read.error().result_code() ==
                          ResultCode::kNodeBadAnswer);
         }),
     It("is requested by an id of 32 digits, and by no other", [] {
       CPPUNIT_ASSERT(!IsRequestsPath("/requestsx"));
       CPPUNIT_ASSERT(!RequestOfPath("/requests")->has_value());
       CPPUNIT_ASSERT(
           RequestOfPath("/requests/" + ToString(kRequest)).value() ==
           kRequest);
       for (const char* path :
            {"/requests/", "/requests/12", "/requests/x/y"}) {
         CPPUNIT_ASSERT_MESSAGE(path, IsRequestsPath(path));
         CPPUNIT_ASSERT_MESSAGE(path, !RequestOfPath(path).ok());
       }
     })});

struct DrainRow {
  std::string name;
  std::string method;
  bool allowed;
  std::string body;
  ResultCode code;
};

const testing::Story kDrain(
    "a request to drain",
    {ForEach<DrainRow>(
         "is refused",
         {{"by another method", "GET", true, "", ResultCode::kMethodNotAllowed},
          {"where the settings do not allow it", "POST", false,
           R"({"name": "entry-1"})", ResultCode::kNotAllowed},
          {"without a name", "POST", true, "", ResultCode::kMalformedJson},
          {"with a name that is not a string", "POST", true, R"({"name": 1})",
           ResultCode::kMalformedJson},
          // Guards against the drain of an entry that was not meant: its host
          // has been assigned the address of a replaced host, an old list of
          // addresses is drained, and only the address is checked.
          {"when it names another process", "POST", true,
           R"({"name": "entry-2"})", ResultCode::kInvalidParameter}},
         [](const DrainRow& row) { return row.name; },
         [](const DrainRow& row) {
           const Status checked = CheckDrainRequest(
               {.method = row.method, .target = "/drain", .body = row.body},
               {.allowed = row.allowed, .name = "entry-1"});
           CPPUNIT_ASSERT(!checked.ok());
           CPPUNIT_ASSERT(checked.error().result_code() == row.code);
         }),
     It("that names the process is accepted where it is allowed",
        [] {
          CPPUNIT_ASSERT(
              CheckDrainRequest(
                  {.method = "POST", .body = RenderDrainRequest("entry \"1\"")},
                  {.allowed = true, .name = "entry \"1\""})
                  .ok());
        }),
     It("is allowed by default on loopback addresses only", [] {
       CPPUNIT_ASSERT(IsLoopback({.ip = "127.0.0.1"}));
       CPPUNIT_ASSERT(IsLoopback({.ip = "::1"}));
       for (const char* ip : {"0.0.0.0", "10.0.0.1", "::", ""}) {
         CPPUNIT_ASSERT_MESSAGE(ip, !IsLoopback({.ip = ip}));
       }
     })});

}  // namespace
}  // namespace acacialug::operations
