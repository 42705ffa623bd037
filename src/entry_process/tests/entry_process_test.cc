#include "entry_process/entry_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "entry_process/tests/fake_agent.h"
#include "framework/http/http_client.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using nlohmann::json;
using testing::ForEach;
using testing::It;

// Runs the event loop until `done`; a bound on time only ends a hung test.
void RunUntil(const std::function<bool()>& done) {
  QTimer limit;
  limit.setSingleShot(true);
  limit.start(std::chrono::seconds(20));
  while (!done() && limit.isActive()) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  CPPUNIT_ASSERT(done());
}

// One exchange of a caller.
struct Exchange {
  http::Client::ExchangeId id = 0;
  int status = 0;
  http::Headers headers;
  std::string body;
  bool ended = false;
  bool failed = false;

  bool Done() const { return this->ended || this->failed; }
  std::string Header(std::string_view name) const {
    return std::string(http::FindHeader(this->headers, name).value_or(""));
  }
};

manifest::Endpoint MakeEndpoint(const char* id,
                                const char* service,
                                protocol::EndpointRole role) {
  return {.id = EndpointId(id),
          .domain = FailureDomain("hall-a"),
          .service = ServiceName(service),
          .role = role,
          .kv_tokens = 1'000'000,
          .slots = 64};
}

// An entry with one prefill, one decode and one plain endpoint, on sockets.
struct Fixture {
  explicit Fixture(
      std::function<void(FakeAgent::Options&)> change_decode = {},
      std::function<void(EntryProcessOptions&)> change_process = {}) {
    FakeAgent::Options decode_options{
        .endpoint = MakeEndpoint("d-1", "lm", protocol::EndpointRole::kDecode)};
    if (change_decode) {
      change_decode(decode_options);
    }
    this->decode = std::make_unique<FakeAgent>(std::move(decode_options));
    EntryProcessOptions options{
        .core = {.id = EntryId("entry-1"), .domain = FailureDomain("hall-a")},
        .listen = {.ip = "127.0.0.1"},
        .operations_listen = http::Address{.ip = "127.0.0.1"},
        .shards = 1,
        .drain_delay = 0ms};
    if (change_process) {
      change_process(options);
    }
    this->process = std::make_unique<EntryProcess>(
        options, this->registry,
        [this](bool whole) { this->drained_whole = whole; });
    CPPUNIT_ASSERT(this->process->Start().ok());
    this->process->SetManifest(this->MakeManifest());
    this->WaitUntilReady();
  }

  std::shared_ptr<const manifest::Manifest> MakeManifest() const {
    manifest::Manifest manifest{.offset = LogOffset(1), .version = "v1"};
    manifest.services = {
        {.name = ServiceName("lm"),
         .kind = manifest::ServiceKind::kModel,
         .models = {ModelName("review-1")},
         .classes = {{.name = "interactive", .first_token = 10s}}},
        {.name = ServiceName("app"),
         .classes = {{.name = "desk", .first_token = 10s}}}};
    manifest.endpoints = {this->prefill.endpoint(), this->decode->endpoint(),
                          this->plain.endpoint()};
    return std::make_shared<const manifest::Manifest>(std::move(manifest));
  }

  void WaitUntilReady() {
    while (this->Ask("GET", "/readyz")->status != 200) {
    }
  }

  std::shared_ptr<Exchange> Send(http::Request request,
                                 std::uint16_t port = 0) {
    auto exchange = std::make_shared<Exchange>();
    exchange->id = this->client.Send(
        {.ip = "127.0.0.1", .port = port == 0 ? this->process->port() : port},
        request,
        {.on_head =
             [exchange](int status, const http::Headers& headers) {
               exchange->status = status;
               exchange->headers = headers;
             },
         .on_data =
             [exchange](std::string_view data) { exchange->body += data; },
         .on_end = [exchange](const std::string&) { exchange->ended = true; },
         .on_error = [exchange](const Error&,
                                bool) { exchange->failed = true; }});
    return exchange;
  }

  std::shared_ptr<Exchange> Ask(const std::string& method,
                                const std::string& target,
                                const std::string& body = {},
                                const http::Headers& headers = {}) {
    auto exchange = this->Send(
        {.method = method, .target = target, .headers = headers, .body = body});
    RunUntil([&] { return exchange->Done(); });
    return exchange;
  }

  FakeAgent prefill{
      {.endpoint =
           MakeEndpoint("p-1", "lm", protocol::EndpointRole::kPrefill)}};
  std::unique_ptr<FakeAgent> decode;
  FakeAgent plain{
      {.endpoint = MakeEndpoint("a-1", "app", protocol::EndpointRole::kPlain)}};
  metrics::Registry registry;
  std::optional<bool> drained_whole;
  http::Client client{{}};
  std::unique_ptr<EntryProcess> process;
};

const std::string kChat =
    R"({"model": "review-1", "messages": [{"role": "user", "content": "x"}]})";
const std::string kStreamed =
    R"({"model": "review-1", "prompt": "x", "stream": true})";

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
          const auto answer = fixture.Ask("POST", "/v1/chat/completions", kChat,
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
          const auto answer = fixture.Ask("POST", "/v1/completions", kStreamed);
          CPPUNIT_ASSERT(answer->body.ends_with("data: [DONE]\n\n"));
          CPPUNIT_ASSERT(
              (TextsOf(answer->body) ==
               std::vector<std::string>{"one ", "two ", "three", ""}));
        }),
     It("passes a call to its service and the answer back",
        [] {
          Fixture fixture;
          const auto answer =
              fixture.Ask("PUT", "/services/app/a/b?c=%20d", "e");
          CPPUNIT_ASSERT_EQUAL(200, answer->status);
          CPPUNIT_ASSERT_EQUAL(std::string("PUT /a/b?c=%20d e"), answer->body);
          CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                               answer->Header("X-Outcome"));
        }),
     It("shows its pages on the operations port", [] {
       Fixture fixture;
       fixture.Ask("POST", "/v1/chat/completions", kChat);
       const auto page = [&](const char* path) {
         auto exchange = fixture.Send({.method = "GET", .target = path},
                                      fixture.process->operations_port());
         RunUntil([&] { return exchange->Done(); });
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
  std::string method;
  std::string target;
  std::string body;
  http::Headers headers;
  int status;
  ResultCode code;
};

const testing::Story kBadInput(
    "bad input",
    {It("gets its numbered code, and the process goes on", [] {
      Fixture fixture({}, [](EntryProcessOptions& options) {
        options.limits.max_body_bytes = 300;
      });
      const std::vector<BadRequest> rows = {
          {"POST", "/v1/completions", "{", {}, 400, ResultCode::kMalformedJson},
          {"POST",
           "/v1/completions",
           R"({"model": "none", "prompt": "x"})",
           {},
           404,
           ResultCode::kUnknownModel},
          {"POST",
           "/v1/completions",
           std::string(301, ' '),
           {},
           413,
           ResultCode::kBodyTooLarge},
          {"GET",
           "/healthz",
           "",
           {{"X-Filler", std::string(20000, 'x')}},
           431,
           ResultCode::kHeadersTooLarge},
          {"GET",
           "/v1/completions",
           "",
           {},
           405,
           ResultCode::kMethodNotAllowed},
          {"GET", "/none", "", {}, 404, ResultCode::kUnknownRoute},
          {"GET", "/services/none/x", "", {}, 404, ResultCode::kUnknownService},
          {"GET", "/v1/models/none", "", {}, 404, ResultCode::kUnknownModel},
          {"POST",
           "/v1/completions",
           kStreamed,
           {{"X-Deadline-Ms", "x"}},
           400,
           ResultCode::kInvalidHeader},
          {"POST",
           "/v1/completions",
           kStreamed,
           {{"X-Latency-Class", "none"}},
           400,
           ResultCode::kInvalidHeader},
          {"POST",
           "/services/app/issue",
           "",
           {},
           400,
           ResultCode::kKeyRequired}};
      for (const BadRequest& row : rows) {
        const auto answer =
            fixture.Ask(row.method, row.target, row.body, row.headers);
        const std::string name(ResultCodeName(row.code));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.status, answer->status);
        CPPUNIT_ASSERT_EQUAL(
            name,
            json::parse(answer->body)["error"]["code"].get<std::string>());
        CPPUNIT_ASSERT_MESSAGE(name,
                               ParseRequestId(answer->Header("X-Request-Id")));
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             answer->Header("X-Outcome"));
      }
      CPPUNIT_ASSERT_EQUAL(
          200, fixture.Ask("POST", "/v1/chat/completions", kChat)->status);
    })});

const testing::Story kFailures(
    "an entry process whose world fails",
    {// Symptom: engine memory held for nobody. Sequence: a caller hangs up in
     // mid-stream. Cause: the agents are not told.
     It("cancels at its agents what a caller has left",
        [] {
          Fixture fixture([](FakeAgent::Options& options) {
            options.takes = [](const protocol::EntryToAgent& message) {
              return !std::holds_alternative<protocol::StartDecode>(message);
            };
          });
          const auto left = fixture.Send({.method = "POST",
                                          .target = "/v1/completions",
                                          .body = kStreamed});
          RunUntil([&] {
            return fixture.decode->CountReceived<protocol::StartDecode>() == 1;
          });
          fixture.client.Cancel(left->id);
          RunUntil([&] {
            return fixture.decode->CountReceived<protocol::Cancel>() == 1;
          });
        }),
     // Symptom: all requests of an entry end at once. Sequence: one agent sends
     // a frame that cannot be decoded. Cause: the fault ends more than its own
     // connection.
     It("loses only the connection that brought a bad frame",
        [] {
          Fixture fixture;
          fixture.plain.SendRaw("no frame of ours");
          CPPUNIT_ASSERT_EQUAL(
              200, fixture.Ask("POST", "/v1/chat/completions", kChat)->status);
          RunUntil([&] {
            return fixture.plain.CountReceived<protocol::Hello>() == 2;
          });
          CPPUNIT_ASSERT_EQUAL(
              200, fixture.Ask("GET", "/services/app/lookup")->status);
        }),
     // Symptom: a deployment cuts answers. Sequence: SIGTERM in mid-stream.
     // Cause: the process ends, or closes, before its answers do.
     It("that drains lets answers under way end, and then says so",
        [] {
          std::optional<AttemptId> held;
          Fixture fixture([&held](FakeAgent::Options& options) {
            options.takes = [&held](const protocol::EntryToAgent& message) {
              const auto* start = std::get_if<protocol::StartDecode>(&message);
              if (start != nullptr) {
                held = start->attempt;
              }
              return start == nullptr;
            };
          });
          const auto stream = fixture.Send({.method = "POST",
                                            .target = "/v1/completions",
                                            .body = kStreamed});
          RunUntil([&] { return held.has_value(); });
          fixture.process->Drain();
          fixture.decode->Send(
              protocol::Chunk{.attempt = *held, .tokens = 1, .text = "whole"});
          RunUntil(
              [&] { return stream->body.find("whole") != std::string::npos; });
          CPPUNIT_ASSERT(!fixture.drained_whole);
          fixture.decode->Send(protocol::Ended{
              .attempt = *held,
              .chunks = SequenceNumber(1),
              .usage = {.prompt_tokens = 1, .output_tokens = 1}});
          RunUntil([&] { return fixture.drained_whole.has_value(); });
          CPPUNIT_ASSERT(*fixture.drained_whole);
          CPPUNIT_ASSERT(stream->ended &&
                         stream->body.ends_with("data: [DONE]\n\n"));
        }),
     It("that cannot drain in time says that it is not whole", [] {
       Fixture fixture(
           [](FakeAgent::Options& options) {
             options.takes = [](const protocol::EntryToAgent& message) {
               return !std::holds_alternative<protocol::StartDecode>(message);
             };
           },
           [](EntryProcessOptions& options) { options.drain_grace = 1ms; });
       fixture.Send(
           {.method = "POST", .target = "/v1/completions", .body = kStreamed});
       RunUntil([&] {
         return fixture.decode->CountReceived<protocol::StartDecode>() == 1;
       });
       fixture.process->Drain();
       RunUntil([&] { return fixture.drained_whole.has_value(); });
       CPPUNIT_ASSERT(!*fixture.drained_whole);
     })});

}  // namespace
}  // namespace acacialug::entry_process
