#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "entry_process/internal/caller_headers.h"
#include "entry_process/internal/generation_parser.h"
#include "entry_process/internal/json_bounds.h"
#include "entry_process/internal/route.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using protocol::GenerationApi;
using testing::ForEach;
using testing::It;

template <typename T>
void ExpectError(const Result<T>& result,
                 ResultCode code,
                 const std::string& detail) {
  CPPUNIT_ASSERT_MESSAGE("was accepted", !result.ok());
  CPPUNIT_ASSERT_EQUAL(
      std::string(ResultCodeName(code)),
      std::string(ResultCodeName(result.error().result_code())));
  CPPUNIT_ASSERT_MESSAGE(
      result.error().detail + " lacks " + detail,
      result.error().detail.find(detail) != std::string::npos);
}

struct BadRoute {
  std::string method;
  std::string target;
  ResultCode code;
};

struct GoodService {
  std::string target;
  std::string name;
  std::string below;
};

const testing::Story kRoutes(
    "a request line",
    {ForEach<BadRoute>(
         "that leads nowhere is refused:",
         {{"GET", "/", ResultCode::kUnknownRoute},
          {"GET", "", ResultCode::kUnknownRoute},
          {"POST", "/v1/chat/completions/", ResultCode::kUnknownRoute},
          {"POST", "/v2/completions", ResultCode::kUnknownRoute},
          {"GET", "/v1/models/", ResultCode::kUnknownRoute},
          {"GET", "/services/", ResultCode::kUnknownRoute},
          {"GET", "/services//lookup", ResultCode::kUnknownRoute},
          {"GET", "/v1/completions", ResultCode::kMethodNotAllowed},
          {"DELETE", "/v1/models/review-1", ResultCode::kMethodNotAllowed},
          {"POST", "/healthz", ResultCode::kMethodNotAllowed},
          {"post", "/v1/completions", ResultCode::kMethodNotAllowed},
          // Guards against a registration that runs twice: POST
          // /lookup/../issue matches the rule "POST /lookup is idempotent", the
          // service resolves the dots and runs /issue, its answer is lost, and
          // the call is repeated. It happens if two readers interpret one path
          // differently.
          {"POST", "/services/app/lookup/../issue",
           ResultCode::kMalformedRequest},
          {"POST", "/services/app/lookup/%2e%2E/issue",
           ResultCode::kMalformedRequest},
          {"POST", "/services/app/./issue", ResultCode::kMalformedRequest},
          {"POST", "/services/app//issue", ResultCode::kMalformedRequest},
          {"POST", "/services/app/a\\b", ResultCode::kMalformedRequest},
          {"POST", "/services/app/a%2", ResultCode::kMalformedRequest},
          {"POST", "/services/app/a%zz", ResultCode::kMalformedRequest}},
         [](const BadRoute& row) { return row.method + " " + row.target; },
         [](const BadRoute& row) {
           ExpectError(FindRoute(row.method, row.target), row.code, "");
         }),
     ForEach<GoodService>(
         "to a service keeps the path below it and the query:",
         {{"/services/app", "app", "/"},
          {"/services/app?a=../b", "app", "/?a=../b"},
          {"/services/app/", "app", "/"},
          {"/services/app/a/b/?q=%2e", "app", "/a/b/?q=%2e"},
          {"/services/app/%69ssue", "app", "/issue"},
          {"/services/app/a%2fb%C3%a9", "app", "/a%2Fb%C3%A9"},
          {"/services/app/..a", "app", "/..a"}},
         [](const GoodService& row) { return row.target; },
         [](const GoodService& row) {
           const Result<RouteMatch> match = FindRoute("PUT", row.target);
           CPPUNIT_ASSERT(match.ok());
           CPPUNIT_ASSERT(match->route == Route::kService);
           CPPUNIT_ASSERT_EQUAL(row.name, match->name);
           CPPUNIT_ASSERT_EQUAL(row.below, match->target);
         }),
     It("to the fixed routes is found, with HEAD where GET is", [] {
       CPPUNIT_ASSERT(FindRoute("POST", "/v1/completions?x=1")->route ==
                      Route::kCompletions);
       CPPUNIT_ASSERT(FindRoute("HEAD", "/healthz")->route == Route::kHealth);
       CPPUNIT_ASSERT_EQUAL(std::string("org/m:1"),
                            FindRoute("GET", "/v1/models/org/m:1")->name);
     })});

struct BadHeader {
  std::string name;
  std::string value;
};

const testing::Story kHeaders(
    "the headers of a caller",
    {ForEach<BadHeader>(
         "are refused with",
         {{"X-Deadline-Ms", "0"},
          {"X-Deadline-Ms", "-5"},
          {"x-deadline-ms", "1.5"},
          {"X-Deadline-Ms", "250ms"},
          {"X-Deadline-Ms", " 250"},
          {"X-Deadline-Ms", "86400001"},
          {"X-Deadline-Ms", "99999999999999999999"},
          {"X-Deadline-Ms", ""},
          {"X-Caller", std::string(129, 'a')},
          {"X-Caller", "caf\xc3\xa9"},
          {"Idempotency-Key", ""},
          {"Idempotency-Key", std::string(257, 'k')},
          {"X-Latency-Class", "a\tb"},
          {"X-Ticket", std::string(1025, 't')},
          {"X-Request-Id", std::string(257, 'r')}},
         [](const BadHeader& row) {
           return row.name + ": " + row.value.substr(0, 30);
         },
         [](const BadHeader& row) {
           ExpectError(ParseCallerHeaders({{row.name, row.value}}),
                       ResultCode::kInvalidHeader, ": ");
         }),
     It("are refused when a key is given twice",
        [] {
          ExpectError(ParseCallerHeaders(
                          {{"Idempotency-Key", "a"}, {"idempotency-key", "b"}}),
                      ResultCode::kInvalidHeader,
                      "Idempotency-Key: given twice");
        }),
     It("are read, and other headers are ignored", [] {
       const Result<CallerHeaders> read =
           ParseCallerHeaders({{"x-caller", "printer-7"},
                               {"X-DEADLINE-MS", "1500"},
                               {"X-Latency-Class", "batch"},
                               {"Idempotency-Key", "k 1"},
                               {"X-Ticket", "t"},
                               {"X-Request-Id", "mine"},
                               {"Accept", "\xff"}});
       CPPUNIT_ASSERT(read.ok());
       CPPUNIT_ASSERT_EQUAL(std::string("printer-7"), read->caller.text);
       CPPUNIT_ASSERT(read->deadline == 1500ms);
       CPPUNIT_ASSERT_EQUAL(std::string("batch"), read->latency_class);
       CPPUNIT_ASSERT_EQUAL(std::string("k 1"), read->idempotency_key);
       CPPUNIT_ASSERT_EQUAL(std::string("t"), read->ticket);
       CPPUNIT_ASSERT_EQUAL(std::string("mine"), read->client_request_id);
     })});

struct BadBody {
  GenerationApi api;
  std::string body;
  ResultCode code;
  std::string detail;
};

// A good completion with more fields.
std::string Completion(const std::string& more) {
  return R"({"model": "m", "prompt": "p", )" + more + "}";
}

std::string Chat(const std::string& messages) {
  return R"({"model": "m", "messages": )" + messages + "}";
}

BadBody BadParameter(const std::string& name, const std::string& value) {
  return {GenerationApi::kCompletions, Completion("\"" + name + "\": " + value),
          ResultCode::kInvalidParameter, name + ": "};
}

BadBody BadMessages(const std::string& messages, const std::string& name) {
  return {GenerationApi::kChat, Chat(messages), ResultCode::kInvalidParameter,
          name + ": "};
}

BadBody BadJson(const std::string& body) {
  return {GenerationApi::kCompletions, body, ResultCode::kMalformedJson, ""};
}

std::string NameOfBody(const BadBody& row) {
  std::string name = row.body.substr(0, 90);
  std::replace_if(
      name.begin(), name.end(), [](char byte) { return byte < ' '; }, '?');
  return name;
}

void ExpectRefused(const BadBody& row) {
  ExpectError(ParseGeneration(row.api, row.body), row.code, row.detail);
}

const testing::Story kBodies(
    "the body of a generation",
    {ForEach<BadBody>(
         "that is not the JSON of this route is refused:",
         {BadJson(""), BadJson("{"), BadJson("[]"), BadJson("null"),
          BadJson("{\"model\": \"m\", \"prompt\": \"p\"} x"),
          BadJson("{\"model\": \"m\", \"prompt\": \"\xff\"}"),
          BadJson("{'model': 'm'}"), BadJson(std::string(8, '\0')),
          BadJson(Completion("\"a\": " + std::string(500'000, '['))),
          BadJson(Completion("\"a\": [1" + std::string(300'000, ',') + "]"))},
         NameOfBody,
         ExpectRefused),
     ForEach<BadBody>(
         "with messages of another form is refused:",
         {BadMessages("[]", "messages"), BadMessages("\"x\"", "messages"),
          BadMessages("null", "messages"),
          BadMessages("[1]", "messages[0].role"),
          BadMessages(R"([{"content": "x"}])", "messages[0].role"),
          BadMessages(R"([{"role": "tool", "content": "x"}])",
                      "messages[0].role"),
          BadMessages(R"([{"role": "user"}])", "messages[0].content"),
          BadMessages(R"([{"role": "user", "content": 1}])",
                      "messages[0].content"),
          BadMessages(R"([{"role": "user", "content": "x"},
                          {"role": "user", "content": [
                            {"type": "image_url", "image_url": {}}]}])",
                      "messages[1].content"),
          BadMessages(R"([{"role": "assistant", "content": "x",
                           "tool_calls": [{}]}])",
                      "messages[0]")},
         NameOfBody,
         ExpectRefused),
     ForEach<BadBody>(
         "with a parameter that cannot be kept is refused:",
         {{GenerationApi::kCompletions, R"({"prompt": "p"})",
           ResultCode::kInvalidParameter, "model: "},
          {GenerationApi::kCompletions, R"({"model": 7, "prompt": "p"})",
           ResultCode::kInvalidParameter, "model: "},
          {GenerationApi::kCompletions, R"({"model": "m"})",
           ResultCode::kInvalidParameter, "prompt: "},
          {GenerationApi::kCompletions, R"({"model": "m", "prompt": ["a"]})",
           ResultCode::kInvalidParameter, "prompt: "},
          BadParameter("max_tokens", "0"),
          BadParameter("max_tokens", "-1"),
          BadParameter("max_tokens", "1.5"),
          BadParameter("max_tokens", "\"9\""),
          BadParameter("max_tokens", "4294967296"),
          BadParameter("max_completion_tokens", "2, \"max_tokens\": 3"),
          BadParameter("stream", "\"yes\""),
          BadParameter("stream_options", R"({"include_usage": true})"),
          BadParameter("stream_options", R"([], "stream": true)"),
          BadParameter("stream_options",
                       R"({"continuous_usage_stats": true}, "stream": true)"),
          BadParameter("user", "\"" + std::string(257, 'u') + "\""),
          BadParameter("n", "2"),
          BadParameter("best_of", "3"),
          BadParameter("echo", "true"),
          BadParameter("logprobs", "0"),
          BadParameter("top_logprobs", "1"),
          BadParameter("suffix", "\"s\""),
          BadParameter("tools", "[{}]"),
          BadParameter("tool_choice", "\"auto\""),
          BadParameter("response_format", R"({"type": "json_object"})"),
          BadParameter("modalities", R"(["text", "audio"])"),
          BadParameter("kv_transfer_params", "{}"),
          BadParameter("priority", "-9"),
          BadParameter("continue_final_message", "true"),
          BadParameter("add_generation_prompt", "false")},
         NameOfBody,
         ExpectRefused),
     It("passes the neutral values that client libraries send",
        [] {
          const std::string body = Completion(
              R"("n": 1, "best_of": 1, "echo": false, "logprobs": null,
              "tools": [], "tool_choice": "none", "suffix": null,
              "response_format": {"type": "text"}, "stream": true,
              "stream_options": {"include_usage": true}, "user": "u",
              "temperature": 0.2, "stop": ["x"], "max_completion_tokens": 7)");
          const Result<ParsedGeneration> read =
              ParseGeneration(GenerationApi::kCompletions, body);
          CPPUNIT_ASSERT_MESSAGE(read.ok() ? "" : read.error().detail,
                                 read.ok());
          CPPUNIT_ASSERT_EQUAL(body, read->generation.body);
          CPPUNIT_ASSERT_EQUAL(7u, read->generation.max_tokens);
          CPPUNIT_ASSERT(read->stream && read->include_usage);
          CPPUNIT_ASSERT_EQUAL(std::string("u"), read->user);
        }),
     It("gives a chat's text message by message, text parts joined",
        [] {
          const Result<ParsedGeneration> read = ParseGeneration(
              GenerationApi::kChat, Chat(R"([{"role": "system", "content": "a"},
                    {"role": "user", "content": [
                      {"type": "text", "text": "b"},
                      {"type": "text", "text": "\u00e9"}]}])"));
          CPPUNIT_ASSERT(read.ok());
          CPPUNIT_ASSERT_EQUAL(
              std::string("system: a\nuser: b\xc3\xa9\nassistant: "),
              read->prompt_text);
        }),
     It("is bounded by brackets and commas outside strings only", [] {
       const JsonLimits limits{.depth = 2, .values = 4};
       CPPUNIT_ASSERT(JsonWithinBounds(R"(["[[[[,,,,,\"[[[["])", limits));
       CPPUNIT_ASSERT(JsonWithinBounds("[[1],2]", limits));
       CPPUNIT_ASSERT(!JsonWithinBounds("[[[1]]]", limits));
       CPPUNIT_ASSERT(!JsonWithinBounds("[1,2,3,4]", limits));
       CPPUNIT_ASSERT(JsonWithinBounds("\"\\", limits));
     })});

}  // namespace
}  // namespace acacialug::entry_process
