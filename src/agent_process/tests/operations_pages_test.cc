#include "agent_process/internal/operations_pages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "framework/metrics/exposition.h"
#include "framework/testing/story.h"
#include "operations/requests_page.h"

namespace acacialug::agent_process {
namespace {

using testing::ForEach;
using testing::It;

AgentStatus Sample() {
  return {.endpoint = EndpointId("d1"),
          .incarnation = Incarnation(0xffffffffffffffff),
          .manifest_version = "v1",
          .configuration_known = true,
          .engine_known = true,
          .load = {.running = 3, .work_ahead = 1500ms},
          .sessions = {{.entry = EntryId("entry-1")}},
          .held_attempts = {AttemptId{}},
          .counters = {.bad_frames = 2}};
}

std::vector<agent::HeldAttempt> TwoHeld() {
  return {{.attempt = {.request = {.high = 1, .low = 2}},
           .kind = agent::HeldKind::kStream,
           .age = 5ms},
          {.attempt = {.request = {.high = 3, .low = 4}}}};
}

http::Response Get(const std::string& target,
                   const AgentStatus& status = Sample(),
                   const std::string& method = "GET") {
  return AnswerOperations({.method = method, .target = target},
                          {.status = [status] { return status; },
                           .histograms = [] { return metrics::Snapshot(); },
                           .holdings = [] { return TwoHeld(); },
                           .drain_rules = {.name = "d1"}});
}

struct RefusedRow {
  std::string name;
  std::string method;
  std::string target;
  int status;
  std::string line;
};

struct Row {
  std::string name;
  std::string target;
  bool engine_known;
  bool draining;
  int status;
};

const testing::Story kPages(
    "an agent's operations port",
    {ForEach<Row>(
         "answers",
         {{"healthz while it starts", "/healthz", false, false, 200},
          {"healthz while it drains", "/healthz?x=1", true, true, 200},
          {"readyz as not ready before the engine lists what it holds",
           "/readyz", false, false, 503},
          {"readyz as ready", "/readyz", true, false, 200},
          {"readyz as not ready while it drains", "/readyz", true, true, 503},
          {"404 elsewhere", "/nowhere", true, false, 404}},
         [](const Row& row) { return row.name; },
         [](const Row& row) {
           AgentStatus status = Sample();
           status.engine_known = row.engine_known;
           status.draining = row.draining;
           CPPUNIT_ASSERT_EQUAL(row.status, Get(row.target, status).status);
         }),
     It("refuses other methods",
        [] {
          CPPUNIT_ASSERT_EQUAL(405, Get("/status", Sample(), "PUT").status);
        }),
     ForEach<RefusedRow>(
         "refuses by number",
         {{"a request that holds nothing here", "GET",
           "/requests/00000000000000010000000000000009", 404,
           "1014 unknown_request: 00000000000000010000000000000009\n"},
          {"a malformed id", "GET", "/requests/x", 400,
           "1013 invalid_parameter: expected 32 hexadecimal digits behind "
           "/requests/\n"},
          {"to drain by another method", "GET", "/drain", 405,
           "1006 method_not_allowed\n"},
          {"to drain, where it is not allowed", "POST", "/drain", 403,
           "1015 not_allowed: operations.allow_drain is false\n"}},
         [](const RefusedRow& row) { return row.name; },
         [](const RefusedRow& row) {
           const http::Response answer = Get(row.target, Sample(), row.method);
           CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
           CPPUNIT_ASSERT_EQUAL(row.line, answer.body);
         }),
     It("shows what attempts hold, of all requests or of one",
        [] {
          const auto read = [](const std::string& target) {
            return std::get<operations::AgentRequests>(
                *operations::ParseRequestsPage(Get(target).body));
          };
          CPPUNIT_ASSERT(read("/requests").endpoint == EndpointId("d1"));
          CPPUNIT_ASSERT(read("/requests").attempts == TwoHeld());
          const auto one =
              read("/requests/00000000000000010000000000000002").attempts;
          CPPUNIT_ASSERT(one.size() == 1 && one[0] == TwoHeld()[0]);
        }),
     It("shows counters and load as metrics, alike in both forms",
        [] {
          const std::string text = Get("/metrics").body;
          for (const char* line :
               {"# TYPE acacialug_agent_bad_frames_total counter\n"
                "acacialug_agent_bad_frames_total 2\n",
                "\nacacialug_agent_work_ahead_seconds 1.5\n"}) {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
          }
          const auto snapshot = metrics::FromJson(Get("/metrics.json").body);
          CPPUNIT_ASSERT(snapshot.ok());
          CPPUNIT_ASSERT_EQUAL(text, metrics::PrometheusText(*snapshot));
        }),
     It("shows sessions and held attempts as status", [] {
       const auto page = nlohmann::json::parse(Get("/status").body);
       CPPUNIT_ASSERT(page["endpoint"] == "d1");
       CPPUNIT_ASSERT(page["incarnation"] == "18446744073709551615");
       CPPUNIT_ASSERT(page["load"]["running"] == 3);
       CPPUNIT_ASSERT(page["sessions"][0]["entry"] == "entry-1");
       CPPUNIT_ASSERT(page["held_attempts"][0] == ToString(AttemptId{}));
     })});

}  // namespace
}  // namespace acacialug::agent_process
