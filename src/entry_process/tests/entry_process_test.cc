#include "entry_process/entry_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "entry_process/tests/process_fixture.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using nlohmann::json;
using testing::It;
using testing::WaitUntil;

std::vector<std::string> TextsOf(const std::string& events) {
  std::vector<std::string> texts;
  for (std::size_t at = 0;
       (at = events.find("data: {", at)) != std::string::npos;) {
    const std::size_t end = events.find("\n\n", at);
    const json event = json::parse(events.substr(at + 6, end - at - 6));
    if (event.contains("choices") && !event["choices"].empty()) {
      texts.push_back(event["choices"][0].value("text", ""));
    }
    at = end;
  }
  return texts;
}

const testing::Story kAnswers(
    "an entry process",
    {It("answers a chat whole, through prefill and decode",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("POST", "/v1/chat/completions", kChat,
                                  {{"X-Request-Id", "mine"}});
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, 200, answer->status);
          const json body = json::parse(answer->body);
          CPPUNIT_ASSERT(body["choices"][0]["message"]["content"] ==
                         "one two three");
          CPPUNIT_ASSERT_EQUAL(std::string("mine"),
                               answer->Header("X-Client-Request-Id"));
          CPPUNIT_ASSERT(ParseRequestId(answer->Header("X-Request-Id")));
          CPPUNIT_ASSERT_EQUAL(
              std::size_t{1},
              fixture.prefill.CountReceived<protocol::StartPrefill>());
        }),
     It("streams a completion to its [DONE]",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("POST", "/v1/completions", kStreamed);
          CPPUNIT_ASSERT(answer->body.ends_with("data: [DONE]\n\n"));
          CPPUNIT_ASSERT(
              (TextsOf(answer->body) ==
               std::vector<std::string>{"one ", "two ", "three", ""}));
        }),
     It("passes a call to its service and returns the answer",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.SendAndWait("PUT", "/services/app/a/b?c=%20d", "e");
          CPPUNIT_ASSERT_EQUAL(200, answer->status);
          CPPUNIT_ASSERT_EQUAL(std::string("PUT /a/b?c=%20d e"), answer->body);
          CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                               answer->Header("X-Outcome"));
        }),
     It("shows its pages on the operations port", [] {
       Fixture fixture;
       fixture.SendAndWait("POST", "/v1/chat/completions", kChat);
       const auto page = [&](const char* path) {
         auto exchange = fixture.Send({.method = "GET", .target = path},
                                      fixture.process->operations_port());
         WaitUntil("a page", [&] { return exchange->Done(); });
         return exchange;
       };
       CPPUNIT_ASSERT(page("/metrics")
                          ->body.find("acacialug_goodput_total{service=\"lm\","
                                      "class=\"interactive\"} "
                                      "1") != std::string::npos);
       CPPUNIT_ASSERT(json::accept(page("/metrics.json")->body));
       const json status = json::parse(page("/status")->body);
       CPPUNIT_ASSERT(status["ready"] == true);
       CPPUNIT_ASSERT(status["shards"][0]["endpoints"]["d-1"]["connected"]);
       CPPUNIT_ASSERT_EQUAL(404, page("/nothing")->status);
     })});

struct BadRequest {
  const char* method;
  const char* target;
  std::string body;
  http::Header header;
  int status;
  ResultCode code;
};

const testing::Story kBadInput(
    "bad input",
    {It("gets its numbered code, and the process goes on", [] {
      Fixture fixture({}, [](EntryProcessOptions& options) {
        options.limits.max_body_bytes = 300;
      });
      const char* const generate = "/v1/completions";
      const http::Header none{"X-None", "1"};
      const std::vector<BadRequest> rows = {
          {"POST", generate, "{", none, 400, ResultCode::kMalformedJson},
          {"POST", generate, R"({"model": "none", "prompt": "x"})", none, 404,
           ResultCode::kUnknownModel},
          {"POST", generate, std::string(301, ' '), none, 413,
           ResultCode::kBodyTooLarge},
          {"GET",
           "/healthz",
           "",
           {"X-Filler", std::string(20000, 'x')},
           431,
           ResultCode::kHeadersTooLarge},
          {"GET", generate, "", none, 405, ResultCode::kMethodNotAllowed},
          {"GET", "/none", "", none, 404, ResultCode::kUnknownRoute},
          {"GET", "/services/none/x", "", none, 404,
           ResultCode::kUnknownService},
          {"GET", "/v1/models/none", "", none, 404, ResultCode::kUnknownModel},
          {"POST",
           generate,
           kStreamed,
           {"X-Deadline-Ms", "x"},
           400,
           ResultCode::kInvalidHeader},
          {"POST",
           generate,
           kStreamed,
           {"X-Latency-Class", "none"},
           400,
           ResultCode::kInvalidHeader},
          {"POST", "/services/app/issue", "", none, 400,
           ResultCode::kKeyRequired}};
      for (const BadRequest& row : rows) {
        const auto answer =
            fixture.SendAndWait(row.method, row.target, row.body, {row.header});
        const std::string name(ResultCodeName(row.code));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.status, answer->status);
        CPPUNIT_ASSERT_EQUAL(
            name,
            json::parse(answer->body)["error"]["code"].get<std::string>());
        CPPUNIT_ASSERT(ParseRequestId(answer->Header("X-Request-Id")));
        CPPUNIT_ASSERT(answer->Header("X-Outcome") == "not_run");
      }
      CPPUNIT_ASSERT_EQUAL(
          200,
          fixture.SendAndWait("POST", "/v1/chat/completions", kChat)->status);
    })});

const testing::Story kFailures(
    "an entry process whose callers or agents fail",
    {// Guards against engine memory held without a caller: a caller closes its
     // connection in mid-stream, and the agents are not notified.
     It("cancels at its agents the requests that a caller has left",
        [] {
          std::optional<AttemptId> held;
          Fixture fixture(HoldDecode(held));
          const auto left = fixture.Send({.method = "POST",
                                          .target = "/v1/completions",
                                          .body = kStreamed});
          WaitUntil("it", [&] {
            return fixture.decode->CountReceived<protocol::StartDecode>() == 1;
          });
          fixture.client.Cancel(left->id);
          WaitUntil("it", [&] {
            return fixture.decode->CountReceived<protocol::Cancel>() == 1;
          });
        }),
     // Guards against the end of all requests of an entry when one agent sends
     // a frame that cannot be decoded: the fault must end only the connection
     // that brought it.
     It("loses only the connection that brought a bad frame",
        [] {
          Fixture fixture;
          fixture.plain.SendRaw("no frame of ours");
          CPPUNIT_ASSERT_EQUAL(
              200, fixture.SendAndWait("POST", "/v1/chat/completions", kChat)
                       ->status);
          WaitUntil("it", [&] {
            return fixture.plain.CountReceived<protocol::Hello>() == 2;
          });
          CPPUNIT_ASSERT_EQUAL(
              200, fixture.SendAndWait("GET", "/services/app/lookup")->status);
        }),
     // Guards against answers cut by a deployment: after SIGTERM in mid-stream
     // the process ends, or closes its connections, before the answers are
     // complete.
     It("that drains lets running answers end, and then reports it",
        [] {
          std::optional<AttemptId> held;
          Fixture fixture(HoldDecode(held));
          const auto stream = fixture.Send({.method = "POST",
                                            .target = "/v1/completions",
                                            .body = kStreamed});
          WaitUntil("it", [&] { return held.has_value(); });
          fixture.process->Drain();
          fixture.decode->Send(
              protocol::Chunk{.attempt = *held, .tokens = 1, .text = "whole"});
          WaitUntil("it", [&] {
            return stream->body.find("whole") != std::string::npos;
          });
          CPPUNIT_ASSERT(!fixture.drained_whole);
          fixture.decode->Send(protocol::Ended{
              .attempt = *held,
              .chunks = SequenceNumber(1),
              .usage = {.prompt_tokens = 1, .output_tokens = 1}});
          WaitUntil("it", [&] { return fixture.drained_whole.has_value(); });
          CPPUNIT_ASSERT(*fixture.drained_whole);
          CPPUNIT_ASSERT(stream->ended &&
                         stream->body.ends_with("data: [DONE]\n\n"));
        }),
     It("that cannot drain in time reports that it is not whole", [] {
       std::optional<AttemptId> held;
       Fixture fixture(HoldDecode(held), [](EntryProcessOptions& options) {
         options.drain_grace = 1ms;
       });
       fixture.Send(
           {.method = "POST", .target = "/v1/completions", .body = kStreamed});
       WaitUntil("it", [&] {
         return fixture.decode->CountReceived<protocol::StartDecode>() == 1;
       });
       fixture.process->Drain();
       WaitUntil("it", [&] { return fixture.drained_whole.has_value(); });
       CPPUNIT_ASSERT(!*fixture.drained_whole);
     })});

}  // namespace
}  // namespace acacialug::entry_process
