#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "entry_process/internal/error_answer.h"
#include "entry_process/internal/generation_renderer.h"
#include "entry_process/internal/service_call.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using nlohmann::json;
using protocol::FinishReason;
using protocol::GenerationApi;
using protocol::Outcome;
using testing::ForEach;
using testing::It;

const protocol::Usage kUsage{.prompt_tokens = 10,
                             .cached_tokens = 4,
                             .output_tokens = 3};
const char kAwkwardText[] = " a\"\\\n\x01\xc3\xa9";

GenerationRenderer MakeRenderer(GenerationApi api, bool include_usage) {
  return GenerationRenderer({.api = api,
                             .request = {.high = 1, .low = 2},
                             .model = ModelName("m\"1"),
                             .created = 77,
                             .include_usage = include_usage});
}

// The JSON of each event; "[DONE]" is represented as a JSON string.
std::vector<json> ReadEvents(std::string_view events) {
  std::vector<json> read;
  while (!events.empty()) {
    CPPUNIT_ASSERT(events.starts_with("data: "));
    const std::size_t end = events.find("\n\n");
    CPPUNIT_ASSERT(end != std::string_view::npos);
    const std::string_view data = events.substr(6, end - 6);
    read.push_back(data == "[DONE]" ? json(data) : json::parse(data));
    events.remove_prefix(end + 2);
  }
  return read;
}

std::vector<json> WholeStream(GenerationApi api, bool include_usage) {
  const GenerationRenderer renderer = MakeRenderer(api, include_usage);
  std::string events = renderer.BeginEvents();
  renderer.AppendTextEvent(kAwkwardText, events);
  events += renderer.EndEvents(FinishReason::kLength, kUsage);
  return ReadEvents(events);
}

const testing::Story kStreams(
    "a streamed answer",
    {It("of a chat begins with the role, ends with reason, usage and [DONE]",
        [] {
          const std::vector<json> events =
              WholeStream(GenerationApi::kChat, true);
          CPPUNIT_ASSERT_EQUAL(std::size_t{5}, events.size());
          for (std::size_t i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(events[i]["object"] == "chat.completion.chunk");
            CPPUNIT_ASSERT(events[i]["id"] ==
                           "chatcmpl-00000000000000010000000000000002");
            CPPUNIT_ASSERT(events[i]["model"] == "m\"1");
            CPPUNIT_ASSERT(events[i]["created"] == 77);
          }
          CPPUNIT_ASSERT(events[0]["choices"][0]["delta"]["role"] ==
                         "assistant");
          CPPUNIT_ASSERT(events[0]["usage"].is_null());
          CPPUNIT_ASSERT(events[1]["choices"][0]["delta"] ==
                         json({{"content", kAwkwardText}}));
          CPPUNIT_ASSERT(events[1]["choices"][0]["finish_reason"].is_null());
          CPPUNIT_ASSERT(events[2]["choices"][0]["finish_reason"] == "length");
          CPPUNIT_ASSERT(events[2]["choices"][0]["delta"] == json::object());
          CPPUNIT_ASSERT(events[3]["choices"] == json::array());
          CPPUNIT_ASSERT(events[3]["usage"]["total_tokens"] == 13);
          CPPUNIT_ASSERT(
              events[3]["usage"]["prompt_tokens_details"]["cached_tokens"] ==
              4);
          CPPUNIT_ASSERT(events[4] == "[DONE]");
        }),
     It("of a completion has neither role nor, unasked, usage",
        [] {
          const std::vector<json> events =
              WholeStream(GenerationApi::kCompletions, false);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
          CPPUNIT_ASSERT(events[0]["object"] == "text_completion");
          CPPUNIT_ASSERT(events[0]["choices"][0]["text"] == kAwkwardText);
          CPPUNIT_ASSERT(!events[0].contains("usage"));
          CPPUNIT_ASSERT(events[1]["choices"][0].value("text", "x").empty());
          CPPUNIT_ASSERT(events[1]["choices"][0]["finish_reason"] == "length");
        }),
     It("replaces bytes that are not UTF-8 instead of failing", [] {
       std::string events;
       MakeRenderer(GenerationApi::kChat, false)
           .AppendTextEvent("a\xff", events);
       CPPUNIT_ASSERT(ReadEvents(events)[0]["choices"][0]["delta"]["content"] ==
                      "a\xef\xbf\xbd");
     })});

const testing::Story kWholes(
    "a whole answer",
    {It("of a chat carries the message, reason and usage",
        [] {
          const json answer = json::parse(
              MakeRenderer(GenerationApi::kChat, false)
                  .Whole(kAwkwardText, FinishReason::kStop, kUsage));
          CPPUNIT_ASSERT(answer["object"] == "chat.completion");
          CPPUNIT_ASSERT(
              answer["choices"][0]["message"] ==
              json({{"role", "assistant"}, {"content", kAwkwardText}}));
          CPPUNIT_ASSERT(answer["choices"][0]["finish_reason"] == "stop");
          CPPUNIT_ASSERT(answer["usage"]["completion_tokens"] == 3);
        }),
     It("of a completion carries the text", [] {
       const json answer =
           json::parse(MakeRenderer(GenerationApi::kCompletions, false)
                           .Whole("t", FinishReason::kStop, kUsage));
       CPPUNIT_ASSERT(answer["object"] == "text_completion");
       CPPUNIT_ASSERT(answer["choices"][0]["text"] == "t");
     })});

struct ErrorRow {
  ResultCode code;
  Outcome outcome;
  Duration retry_after;
  int status;
  std::string expected_retry_after;  // empty: no such header, no retry
};

std::string HeaderOf(const http::Response& response, std::string_view name) {
  return std::string(http::FindHeader(response.headers, name).value_or(""));
}

const testing::Story kErrors(
    "an error",
    {ForEach<ErrorRow>(
         "has its status, outcome and advice:",
         {{ResultCode::kMalformedJson, Outcome::kNotRun, 0s, 400, ""},
          {ResultCode::kUnknownModel, Outcome::kNotRun, 0s, 404, ""},
          {ResultCode::kMethodNotAllowed, Outcome::kNotRun, 0s, 405, ""},
          {ResultCode::kBodyTooLarge, Outcome::kNotRun, 0s, 413, ""},
          {ResultCode::kUnknownCaller, Outcome::kNotRun, 0s, 403, ""},
          {ResultCode::kOverloaded, Outcome::kNotRun, 0s, 503, "1"},
          {ResultCode::kCallerOverLimit, Outcome::kNotRun, 2100ms, 429, "3"},
          {ResultCode::kDraining, Outcome::kNotRun, 2s, 503, "2"},
          {ResultCode::kEndpointLost, Outcome::kNotRun, 0s, 502, "1"},
          {ResultCode::kEndpointLost, Outcome::kUnknown, 0s, 502, ""},
          {ResultCode::kOutcomeUnknown, Outcome::kUnknown, 2s, 502, ""},
          {ResultCode::kDeadlineExceeded, Outcome::kUnknown, 0s, 504, ""},
          {ResultCode::kStillRunning, Outcome::kUnknown, 0s, 409, ""},
          {ResultCode::kAnswerGone, Outcome::kCompleted, 0s, 410, ""},
          {ResultCode::kInternal, Outcome::kUnknown, 0s, 500, ""}},
         [](const ErrorRow& row) {
           return std::string(ResultCodeName(row.code)) + " " +
                  std::string(NameOf(protocol::kOutcomeNames, row.outcome));
         },
         [](const ErrorRow& row) {
           const http::Response response =
               RenderError({row.code, row.outcome, "", row.retry_after});
           const std::string advice = row.expected_retry_after;
           CPPUNIT_ASSERT_EQUAL(row.status, response.status);
           CPPUNIT_ASSERT_EQUAL(advice, HeaderOf(response, "Retry-After"));
           CPPUNIT_ASSERT_EQUAL(std::string(advice.empty() ? "false" : "true"),
                                HeaderOf(response, "X-Should-Retry"));
           CPPUNIT_ASSERT(HeaderOf(response, "X-Outcome") ==
                          NameOf(protocol::kOutcomeNames, row.outcome));
           const json error = json::parse(response.body)["error"];
           CPPUNIT_ASSERT(error["number"] == static_cast<int>(row.code));
           CPPUNIT_ASSERT(error["code"] == ResultCodeName(row.code));
           CPPUNIT_ASSERT(error["param"].is_null());
           CPPUNIT_ASSERT(error["type"].is_string());
         }),
     It("gives its detail after the code's meaning, whatever bytes it has", [] {
       const json body = json::parse(RenderErrorBody(
           {.code = ResultCode::kUnknownModel, .detail = "m\"\xff"}));
       const std::string message = body["error"]["message"];
       CPPUNIT_ASSERT(message.ends_with(" (m\"\xef\xbf\xbd)"));
     })});

bool Has(const std::vector<protocol::HeaderField>& headers,
         const std::string& name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&name](const protocol::HeaderField& field) {
                       return field.name == name;
                     });
}

const testing::Story kCalls(
    "a call to a plain service",
    {It("carries all but hop-by-hop headers and the router's own",
        [] {
          const protocol::ServiceRequest call =
              MakeServiceRequest({.method = "POST",
                                  .target = "/services/app/issue?x=1",
                                  .headers = {{"Host", "h"},
                                              {"Connection", "close, X-Once"},
                                              {"X-Once", "1"},
                                              {"Transfer-Encoding", "chunked"},
                                              {"Content-Length", "4"},
                                              {"X-Request-Id", "theirs"},
                                              {"X-Ticket", "t"},
                                              {"Content-Type", "text/plain"},
                                              {"Authorization", "Bearer x"},
                                              {"Idempotency-Key", "k"}},
                                  .body = "body"},
                                 "/issue?x=1", {.high = 0, .low = 5});
          CPPUNIT_ASSERT_EQUAL(std::string("/issue?x=1"), call.target);
          CPPUNIT_ASSERT_EQUAL(std::string("body"), call.body);
          CPPUNIT_ASSERT_EQUAL(std::size_t{4}, call.headers.size());
          for (const char* kept :
               {"Content-Type", "Authorization", "Idempotency-Key"}) {
            CPPUNIT_ASSERT_MESSAGE(kept, Has(call.headers, kept));
          }
          CPPUNIT_ASSERT_EQUAL(std::string("00000000000000000000000000000005"),
                               call.headers.back().value);
        }),
     It("returns an answer without length as one",
        [] {
          CPPUNIT_ASSERT(
              MakeServiceResponse({.unframed = true}, false).unframed);
          CPPUNIT_ASSERT(!MakeServiceResponse({}, false).unframed);
        }),
     It("returns its answer without hop-by-hop headers", [] {
       const http::Response response =
           MakeServiceResponse({.status = 201,
                                .headers = {{"Connection", "keep-alive"},
                                            {"Content-Length", "9"},
                                            {"X-Outcome", "not_run"},
                                            {"ETag", "e"}},
                                .body = "b"},
                               true);
       CPPUNIT_ASSERT_EQUAL(201, response.status);
       CPPUNIT_ASSERT_EQUAL(std::size_t{3}, response.headers.size());
       CPPUNIT_ASSERT_EQUAL(std::string("e"), HeaderOf(response, "etag"));
       CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                            HeaderOf(response, "X-Outcome"));
       CPPUNIT_ASSERT_EQUAL(std::string("true"),
                            HeaderOf(response, "X-Replayed"));
     })});

}  // namespace
}  // namespace acacialug::entry_process
