// Tests of the adapters that the processes use, with the stand-ins.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "cluster/http_host_list.h"
#include "cluster/http_log.h"
#include "cluster/http_weight_store.h"
#include "engine/engine_factory.h"
#include "framework/testing/story.h"
#include "standin/engine_server.h"
#include "standin/platform_server.h"
#include "standin/reference_answer.h"
#include "standin/service_server.h"
#include "standin/tests/server_support.h"

namespace acacialug::standin {
namespace {

using protocol::GenerationApi;
using testing::ForEach;
using testing::It;
using testing::WaitUntil;

// An adapter with its events.
struct Agent {
  std::unique_ptr<engine::IEngine> adapter;
  std::vector<engine::EngineEvent> events;

  Agent(engine::EngineKind kind, const http::Address& address) {
    this->adapter = engine::MakeEngine({.kind = kind,
                                        .address = address,
                                        .endpoint = EndpointId("e"),
                                        .kv_bytes_per_token = 10});
    this->adapter->SetOnEvent([this](const engine::EngineEvent& event) {
      this->events.push_back(event);
    });
  }

  template <typename Event>
  const Event* Find() const {
    for (const engine::EngineEvent& event : this->events) {
      if (const auto* found = std::get_if<Event>(&event)) {
        return found;
      }
    }
    return nullptr;
  }

  template <typename Event>
  Event Ask(const engine::EngineCommand& command) {
    this->events.clear();
    this->adapter->Execute(command);
    WaitUntil("event", [this] { return this->Find<Event>() != nullptr; });
    return *this->Find<Event>();
  }

  std::string Text() const {
    std::string text;
    for (const engine::EngineEvent& event : this->events) {
      if (const auto* part = std::get_if<engine::Text>(&event)) {
        text += part->text;
      }
    }
    return text;
  }
};

struct ModelEngine {
  EngineServer server;
  Agent agent;
  Caller caller;

  explicit ModelEngine(const std::string& id)
      : server({.listen = kAnyPort,
                .engine = {.id = id,
                           .base_iteration = 1ms,
                           .stream_iteration = 0us,
                           .prefill_fixed = 0us}}),
        agent(engine::EngineKind::kOpenAi, this->Started()) {}

  http::Address Started() {
    CPPUNIT_ASSERT(this->server.Start().ok());
    return this->server.address();
  }
  std::size_t Held() {
    return this->agent.Ask<engine::Held>(engine::ListHeld{}).attempts.size();
  }
};

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(1),
                         .entry = Incarnation(9)};

protocol::GenerationRequest Generation(GenerationApi api,
                                       std::uint32_t max_tokens) {
  return {.api = api,
          .model = ModelName("m"),
          .body = api == GenerationApi::kChat
                      ? R"({"messages":[{"role":"user","content":"hi"}]})"
                      : R"({"prompt":"hi"})",
          .max_tokens = max_tokens};
}

const testing::Story kModelEngines(
    "the adapter for model engines",
    {ForEach<GenerationApi>(
         "exports, streams and resumes",
         {GenerationApi::kCompletions, GenerationApi::kChat},
         [](const GenerationApi& api) {
           return std::string(NameOf(protocol::kGenerationApiNames, api));
         },
         [](const GenerationApi& api) {
           ModelEngine prefill("p");
           ModelEngine decode("d");
           const std::string prompt =
               api == GenerationApi::kChat ? "user: hi\nassistant: " : "hi";
           protocol::GenerationRequest generation = Generation(api, 6);
           const std::string whole = MakeReferenceAnswer(prompt, 6).text;
           const auto ready = prefill.agent.Ask<engine::PrefillDone>(
               engine::Prefill{.attempt = kAttempt, .generation = generation});
           CPPUNIT_ASSERT_EQUAL(std::uint64_t{PromptTokens(prompt)},
                                ready.kv.tokens);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, prefill.Held());
           const auto done = decode.agent.Ask<engine::StreamDone>(
               engine::Decode{.attempt = kAttempt,
                              .generation = generation,
                              .kv = ready.kv});
           CPPUNIT_ASSERT_EQUAL(whole, decode.agent.Text());
           CPPUNIT_ASSERT_EQUAL(6U, done.usage.output_tokens);
           CPPUNIT_ASSERT_EQUAL(std::size_t{0}, prefill.Held());
           generation.resumed_text = whole.substr(0, 2 * kTokenBytes);
           generation.max_tokens = 4;
           decode.agent.Ask<engine::StreamDone>(
               engine::Decode{.attempt = kAttempt, .generation = generation});
           CPPUNIT_ASSERT_EQUAL(whole,
                                generation.resumed_text + decode.agent.Text());
         }),
     It("learns that an export is gone",
        [] {
          ModelEngine prefill("p");
          ModelEngine decode("d");
          const auto generation = Generation(GenerationApi::kCompletions, 4);
          const auto ready = prefill.agent.Ask<engine::PrefillDone>(
              engine::Prefill{.attempt = kAttempt, .generation = generation});
          prefill.caller.Control(prefill.server.address(),
                                 R"({"evict_exports":true})");
          const auto failed = decode.agent.Ask<engine::AttemptFailed>(
              engine::Decode{.attempt = kAttempt,
                             .generation = generation,
                             .kv = ready.kv});
          CPPUNIT_ASSERT(failed.code == ResultCode::kExportExpired);
        }),
     It("frees a stream and an export by their attempt",
        [] {
          ModelEngine engine("e");
          AttemptId other = kAttempt;
          other.attempt = AttemptNumber(2);
          engine.agent.Ask<engine::PrefillDone>(engine::Prefill{
              .attempt = other,
              .generation = Generation(GenerationApi::kCompletions, 1)});
          engine.agent.Ask<engine::Text>(engine::Decode{
              .attempt = kAttempt,
              .generation = Generation(GenerationApi::kCompletions, 50'000)});
          engine.agent.adapter->Execute(engine::Abort{.attempt = kAttempt});
          engine.agent.adapter->Execute(engine::Abort{.attempt = other});
          WaitUntil("nothing held", [&] { return engine.Held() == 0; });
        }),
     It("reads the state that its orders brought about", [] {
       ModelEngine engine("e");
       const auto order = [&](std::uint64_t fencing_token) {
         return engine.agent
             .Ask<engine::OrderDone>(
                 engine::Order{.fencing_token = LogOffset(fencing_token),
                               .model = ModelName("m"),
                               .version = "2",
                               .adapters = {"a@1"},
                               .role = "decode"})
             .code;
       };
       CPPUNIT_ASSERT(order(5) == ResultCode::kOk);
       CPPUNIT_ASSERT(order(4) == ResultCode::kOrderFenced);
       const auto state =
           engine.agent.Ask<engine::EngineState>(engine::ReadState{});
       CPPUNIT_ASSERT(state.fencing_token == LogOffset(5) && state.loading);
       CPPUNIT_ASSERT_EQUAL(std::string("2"), state.version);
       CPPUNIT_ASSERT_EQUAL(std::string("a@1"), state.adapters.at(0));
     })});

const testing::Story kPlainServices(
    "the adapter for plain services",
    {It("passes a call through", [] {
      ServiceServer server({.listen = kAnyPort, .service = {.mean_time = 1ms}});
      CPPUNIT_ASSERT(server.Start().ok());
      Agent agent(engine::EngineKind::kPlain, server.address());
      const auto done = agent.Ask<engine::CallDone>(
          engine::Call{.attempt = kAttempt,
                       .request = {.method = "POST",
                                   .target = "/issue?n=1",
                                   .headers = {{"Idempotency-Key", "k"}},
                                   .body = "x"}});
      CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, done.answer.status);
      CPPUNIT_ASSERT_EQUAL(ReferenceServiceAnswer("POST", "/issue?n=1", "x"),
                           done.answer.body);
      CPPUNIT_ASSERT_EQUAL(nlohmann::json({{"k", 1}}),
                           Caller().Get(server.address(), "/executions"));
    })});

// Starts an asynchronous call and waits for its result.
template <typename T>
Result<T> Await(
    const std::function<void(std::function<void(Result<T>)>)>& call) {
  std::optional<Result<T>> given;
  call([&given](Result<T> result) { given.emplace(std::move(result)); });
  WaitUntil("result", [&given] { return given.has_value(); });
  return *given;
}

struct LogRow {
  std::string name;
  std::string control;
  ResultCode code;
};

const testing::Story kPlatform(
    "the adapter for the platform's",
    {ForEach<LogRow>(
         "log",
         {{"appends", "{}", ResultCode::kOk},
          {"reports an outage", R"({"refuse":true})",
           ResultCode::kPlatformUnavailable},
          {"reports the rate limit", R"({"appends_per_second":0.5})",
           ResultCode::kPlatformUnavailable},
          {"knows nothing after a lost answer", R"({"lose_answers":1})",
           ResultCode::kAppendUnresolved},
          {"knows nothing after a lost request", R"({"lose_requests":1})",
           ResultCode::kAppendUnresolved}},
         [](const LogRow& row) { return row.name; },
         [](const LogRow& row) {
           LogServer server({.listen = kAnyPort});
           CPPUNIT_ASSERT(server.Start().ok());
           Caller().Control(server.address(), row.control);
           http::Client client({});
           cluster::HttpLog log(server.address(), client);
           const auto appended = Await<LogOffset>(
               [&](auto done) { log.Append("s", "\x01\xff", done); });
           CPPUNIT_ASSERT(row.code == (appended.ok()
                                           ? ResultCode::kOk
                                           : appended.error().result_code()));
         }),
     It("log reads what was appended",
        [] {
          LogServer server({.listen = kAnyPort});
          CPPUNIT_ASSERT(server.Start().ok());
          http::Client client({});
          cluster::HttpLog log(server.address(), client);
          const auto read = [&](std::uint64_t from) {
            return Await<cluster::ILog::Read>([&](auto done) {
              log.ReadFrom("s", LogOffset(from), 10, 10ms, done);
            });
          };
          CPPUNIT_ASSERT(read(1)->next == LogOffset(1));
          CPPUNIT_ASSERT(Await<LogOffset>([&](auto done) {
                           log.Append("s", "x", done);
                         }).ok());
          CPPUNIT_ASSERT_EQUAL(std::string("x"),
                               read(1)->records.at(0).payload);
          CPPUNIT_ASSERT(read(2)->records.empty());
        }),
     It("host list reads it",
        [] {
          HostListServer server(
              {.listen = kAnyPort, .hosts = {.hosts = {{HostId("h")}}}});
          CPPUNIT_ASSERT(server.Start().ok());
          http::Client client({});
          cluster::HttpHostList list(server.address(), client);
          const auto hosts = Await<std::vector<cluster::HostRecord>>(
              [&](auto done) { list.Read(done); });
          CPPUNIT_ASSERT(hosts->at(0).host == HostId("h"));
        }),
     It("weight store acquires permits and releases them", [] {
       WeightStoreServer server({.listen = kAnyPort, .store = {.permits = 1}});
       CPPUNIT_ASSERT(server.Start().ok());
       http::Client client({});
       cluster::HttpWeightStore store(server.address(), client);
       const auto acquire = [&](const std::string& endpoint) {
         return Await<Duration>(
             [&](auto done) { store.Acquire(EndpointId(endpoint), done); });
       };
       CPPUNIT_ASSERT(*acquire("a") == 30s);
       CPPUNIT_ASSERT(acquire("b").error().result_code() ==
                      ResultCode::kOverloaded);
       store.Release(EndpointId("a"));
       WaitUntil("permit", [&] { return acquire("b").ok(); });
     })});

}  // namespace
}  // namespace acacialug::standin
