#include "standin/engine_server.h"

#include "framework/testing/story.h"
#include "standin/reference_answer.h"
#include "standin/service_server.h"
#include "standin/tests/server_support.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;
using testing::CountOf;
using testing::ForEach;
using testing::It;
using testing::WaitUntil;

EngineServerOptions Quick(const std::string& id) {
  return {.listen = kAnyPort,
          .engine = {.id = id,
                     .base_iteration = 1ms,
                     .stream_iteration = 0us,
                     .prefill_fixed = 0us}};
}

struct Engine {
  EngineServer server;
  Caller caller;

  explicit Engine(const EngineServerOptions& options = Quick("engine"))
      : server(options) {
    CPPUNIT_ASSERT(this->server.Start().ok());
  }

  AnswerPtr Generate(const json& body, const std::string& id = "r") {
    return this->caller.Start(this->server.address(), "POST", "/v1/completions",
                              body.dump(), {{"X-Request-Id", id}});
  }
  std::size_t Held() {
    return this->caller.Get(this->server.address(), "/requests")["requests"]
        .size();
  }
  void AwaitHeld(std::size_t count) {
    WaitUntil("held " + std::to_string(count),
              [&] { return this->Held() == count; });
  }
};

const std::string kDone = "data: [DONE]\n\n";
const json kPrefillBody = {
    {"prompt", "p"},
    {"max_tokens", 1},
    {"kv_transfer_params", {{"do_remote_decode", true}}}};
const json kLongStream = {{"prompt", "p"},
                          {"max_tokens", 50'000},
                          {"stream", true}};

std::string ErrorCode(const AnswerPtr& answer) {
  return TextOr(ChildOr(Parse(answer->data), "error"), "code", "");
}

const testing::Story kHandOver(
    "an engine behind HTTP",
    {It("transfers a prefill's export to the engine that streams",
        [] {
          Engine prefill;
          Engine decode;
          const json asked = {{"prompt", "p"}, {"max_tokens", 5}};
          const AnswerPtr ready = prefill.Generate(kPrefillBody);
          WaitUntil("prefill", [&] { return ready->over(); });
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, prefill.Held());
          json body = asked;
          body["stream"] = true;
          body["stream_options"] = {{"include_usage", true}};
          body["kv_transfer_params"] = Parse(ready->data)["kv_transfer_params"];
          const AnswerPtr stream = decode.Generate(body);
          WaitUntil("stream", [&] { return stream->over(); });
          std::string text;
          std::uint32_t total = 0;
          std::size_t at = 0;
          while ((at = stream->data.find("data: {", at)) != std::string::npos) {
            at += 6;
            const json event = Parse(
                stream->data.substr(at, stream->data.find('\n', at) - at));
            CPPUNIT_ASSERT(event.is_object());
            for (const json& choice : event["choices"]) {
              text += choice["text"].get<std::string>();
            }
            total = event.contains("usage")
                        ? event["usage"]["total_tokens"].get<std::uint32_t>()
                        : total;
          }
          CPPUNIT_ASSERT_EQUAL(MakeReferenceAnswer("p", 5).text, text);
          CPPUNIT_ASSERT_EQUAL(6U, total);
          CPPUNIT_ASSERT(stream->data.ends_with(kDone));
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, prefill.Held());
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decode.Held());
        }),
     It("answers a chat in one piece, and in events",
        [] {
          Engine engine;
          json body = {{"messages", {{{"role", "user"}, {"content", "hi"}}}},
                       {"max_tokens", 3}};
          const auto ask = [&] {
            return engine.caller.Call(engine.server.address(), "POST",
                                      "/v1/chat/completions", body.dump());
          };
          const std::string text =
              MakeReferenceAnswer("user: hi\nassistant: ", 3).text;
          const json whole = Parse(ask()->data);
          CPPUNIT_ASSERT_EQUAL(json(text),
                               whole["choices"][0]["message"]["content"]);
          body["stream"] = true;
          const std::string events = ask()->data;
          CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                               CountOf(events, "\"content\":\""));
          CPPUNIT_ASSERT(events.find("\"length\"") != std::string::npos);
        }),
     It("frees the work of a caller that is gone",
        [] {
          Engine engine;
          const AnswerPtr stream = engine.Generate(kLongStream);
          WaitUntil("text", [&] { return !stream->data.empty(); });
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.Held());
          engine.caller.Cancel(stream);
          engine.AwaitHeld(0);
        }),
     It("frees what is aborted by its id, exports too",
        [] {
          Engine engine;
          const AnswerPtr stream = engine.Generate(kLongStream, "stream");
          const AnswerPtr ready = engine.Generate(kPrefillBody, "export");
          WaitUntil("both",
                    [&] { return !stream->data.empty() && ready->over(); });
          engine.caller.Call(engine.server.address(), "POST", "/abort_requests",
                             R"({"request_ids":["stream","export","x"]})");
          engine.AwaitHeld(0);
          WaitUntil("cut", [&] { return stream->failed; });
        }),
     It("adds its network delay to requests and answers", [] {
       EngineServerOptions options = Quick("far");
       options.one_way_delay = 20ms;
       Engine engine(options);
       const Instant before = MonotonicNow();
       engine.caller.Get(engine.server.address(), "/health");
       CPPUNIT_ASSERT(MonotonicNow() - before >= 40ms);
     })});

struct ErrorRow {
  std::string name;
  std::string method;
  std::string target;
  std::string body;
  int status;
  std::string code;
};

const std::vector<ErrorRow> kErrors = {
    {"a body that is no JSON", "POST", "/v1/completions", "{", 400,
     "invalid_request"},
    {"no prompt", "POST", "/v1/completions", "{}", 400, "invalid_request"},
    {"no tokens", "POST", "/v1/completions", R"({"prompt":"p","max_tokens":0})",
     400, "invalid_request"},
    {"too long a prompt", "POST", "/v1/completions",
     R"({"prompt":"p","max_tokens":65536})", 400, "context_length_exceeded"},
    {"an export that is gone", "POST", "/v1/completions",
     R"({"prompt":"p","kv_transfer_params":{"do_remote_prefill":true,)"
     R"("remote_host":"127.0.0.1","remote_port":1}})",
     404, "kv_expired"},
    {"a pull of nothing", "POST", "/kv_pull", "{}", 404, "kv_expired"},
    {"an order without a role", "POST", "/orders", R"({"role":"x"})", 400,
     "invalid_request"},
    {"an unknown route", "GET", "/v1/x", "", 404, "not_found"},
};

const testing::Story kAnswersOfFaults(
    "an engine behind HTTP, at fault",
    {ForEach<ErrorRow>(
         "answers",
         kErrors,
         [](const ErrorRow& row) { return row.name; },
         [](const ErrorRow& row) {
           Engine engine;
           const AnswerPtr answer = engine.caller.Call(
               engine.server.address(), row.method, row.target, row.body);
           CPPUNIT_ASSERT_EQUAL(row.status, answer->status);
           CPPUNIT_ASSERT_EQUAL(row.code, ErrorCode(answer));
         }),
     It("answers an old order with a conflict, and keeps its state",
        [] {
          Engine engine;
          const auto order = [&](int fencing_token,
                                 const std::string& version) {
            return engine.caller.Call(
                engine.server.address(), "POST", "/orders",
                json{{"fence", fencing_token}, {"version", version}}.dump());
          };
          CPPUNIT_ASSERT_EQUAL(200, order(5, "b")->status);
          const AnswerPtr old = order(4, "a");
          CPPUNIT_ASSERT_EQUAL(409, old->status);
          CPPUNIT_ASSERT_EQUAL(std::string("fenced"), ErrorCode(old));
          const json state =
              engine.caller.Get(engine.server.address(), "/state");
          CPPUNIT_ASSERT_EQUAL(json("b"), state["version"]);
          CPPUNIT_ASSERT_EQUAL(json(5), state["fence"]);
        }),
     It("holds everything in a stall, and answers after it",
        [] {
          Engine engine;
          engine.caller.Control(engine.server.address(), R"({"stall":true})");
          const AnswerPtr health =
              engine.caller.Start(engine.server.address(), "GET", "/health");
          const AnswerPtr stream = engine.Generate(kLongStream);
          engine.caller.Control(engine.server.address(), "{}");
          CPPUNIT_ASSERT(!health->over() && stream->data.empty());
          engine.caller.Control(engine.server.address(),
                                R"({"stall":true,"stall_ms":20})");
          WaitUntil("text", [&] {
            return health->status == 200 && !stream->data.empty();
          });
          engine.caller.Cancel(stream);
        }),
     It("loses an answer after its effect",
        [] {
          Engine engine;
          engine.caller.Control(engine.server.address(),
                                R"({"lose_answers":1})");
          CPPUNIT_ASSERT(engine.caller
                             .Call(engine.server.address(), "POST", "/orders",
                                   R"({"fence":3})")
                             ->failed);
          const AnswerPtr ready = engine.Generate(kPrefillBody);
          WaitUntil("cut", [&] { return ready->failed; });
          engine.caller.Control(engine.server.address(),
                                R"({"lose_answers":0})");
          CPPUNIT_ASSERT_EQUAL(
              json(3),
              engine.caller.Get(engine.server.address(), "/state")["fence"]);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.Held());
        }),
     It("reports a failure in the stream, after its beginning",
        [] {
          Engine engine;
          engine.caller.Control(engine.server.address(), R"({"fail_share":1})");
          json body = kLongStream;
          body["max_tokens"] = 4;
          const AnswerPtr stream = engine.Generate(body);
          WaitUntil("end", [&] { return stream->over(); });
          CPPUNIT_ASSERT_EQUAL(200, stream->status);
          CPPUNIT_ASSERT(stream->data.find("engine_failed") !=
                         std::string::npos);
          CPPUNIT_ASSERT(stream->data.find(kDone) == std::string::npos);
        }),
     It("cuts its streams at a restart", [] {
       Engine engine;
       const AnswerPtr stream = engine.Generate(kLongStream);
       WaitUntil("text", [&] { return !stream->data.empty(); });
       engine.caller.Control(engine.server.address(), R"({"restart":true})");
       WaitUntil("cut", [&] { return stream->failed; });
     })});

struct Service {
  ServiceServer server{{.listen = kAnyPort, .service = {.mean_time = 1ms}}};
  Caller caller;

  Service() { CPPUNIT_ASSERT(this->server.Start().ok()); }

  AnswerPtr Issue() {
    return this->caller.Call(this->server.address(), "POST", "/issue?n=1",
                             R"({"marker":"m"})", {{"Idempotency-Key", "k"}});
  }
  json Executions() {
    return this->caller.Get(this->server.address(), "/executions");
  }
};

struct ServiceRow {
  std::string name;
  std::string control;
  int status;  // 0: cut
  int executions;
};

const testing::Story kService(
    "a plain service",
    {ForEach<ServiceRow>(
         "counts its executions when it",
         {{"answers", "{}", 200, 1},
          {"refuses", R"({"refuse":true})", 503, 0},
          {"fails after the effect", R"({"fail_share":1})", 500, 1},
          {"loses the request", R"({"lose_requests":1})", 0, 0},
          {"loses the answer after the effect", R"({"lose_answers":1})", 0, 1}},
         [](const ServiceRow& row) { return row.name; },
         [](const ServiceRow& row) {
           Service service;
           service.caller.Control(service.server.address(), row.control);
           CPPUNIT_ASSERT_EQUAL(row.status, service.Issue()->status);
           const json expected =
               row.executions == 0 ? json::object() : json{{"k", 1}, {"m", 1}};
           CPPUNIT_ASSERT_EQUAL(expected, service.Executions());
         }),
     It("begins nothing in a stall, and loses what it began in a restart",
        [] {
          Service service;
          service.caller.Control(service.server.address(), R"({"stall":true})");
          const auto start = [&] {
            return service.caller.Start(service.server.address(), "POST", "/x",
                                        R"({"marker":"m"})");
          };
          const AnswerPtr held = start();
          CPPUNIT_ASSERT_EQUAL(json::object(), service.Executions());
          service.caller.Control(service.server.address(),
                                 R"({"stall":false,"slow_factor":1e6})");
          WaitUntil("begin", [&] {
            return service.Executions() == json{{"m", 1}};
          });
          service.caller.Control(service.server.address(),
                                 R"({"restart":true})");
          WaitUntil("cut", [&] { return held->failed; });
          CPPUNIT_ASSERT_EQUAL(json({{"m", 1}}), service.Executions());
        }),
     It("names the request in its answer", [] {
       Service service;
       CPPUNIT_ASSERT_EQUAL(
           ReferenceServiceAnswer("POST", "/issue?n=1", R"({"marker":"m"})"),
           service.Issue()->data);
     })});

}  // namespace
}  // namespace acacialug::standin
