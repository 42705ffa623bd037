#include <nlohmann/json.hpp>

#include "engine/tests/scripted_server.h"
#include "framework/testing/story.h"

namespace acacialug::engine {
namespace {

using Json = nlohmann::json;
using protocol::FinishReason;
using protocol::GenerationApi;
using protocol::Outcome;
using testing::ForEach;
using testing::It;

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(3),
                         .entry = Incarnation(4)};
const protocol::GenerationRequest kRequest{
    .model = ModelName("review-1"),
    .body = R"({"model":"alias","prompt":"abc","stream":false,"seed":5})",
    .max_tokens = 7,
    .priority = 2};
const Prefill kPrefill{.attempt = kAttempt, .generation = kRequest};
const Decode kDecode{
    .attempt = kAttempt,
    .generation = kRequest,
    .kv = {.transfer_params = R"({"do_remote_prefill":true})"}};

const std::string kPrefillAnswer =
    R"({"kv_transfer_params":{"remote_port":9},"usage":{"prompt_tokens":12,)"
    R"("completion_tokens":1,"prompt_tokens_details":{"cached_tokens":4}}})";
const std::string kUsageEvent =
    R"(data: {"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":2}})"
    "\n\n";

std::string TextEvent(const std::string& text,
                      const std::string& reason = "null") {
  return R"(data: {"choices":[{"index":0,"text":")" + text +
         R"(","finish_reason":)" + reason + "}]}\n\n";
}

const std::string kWholeStream = TextEvent(" a") + TextEvent(" b") +
                                 TextEvent("", "\"length\"") + kUsageEvent +
                                 "data: [DONE]\n\n";

std::string ErrorBody(const std::string& code) {
  return R"({"error":{"message":"no","code":")" + code + "\"}}";
}

ScriptedServer::Script Whole(int status, const std::string& body) {
  return [status, body](const http::Request&,
                        const http::ResponderPtr& responder) {
    responder->SendWhole({.status = status, .body = body});
  };
}

enum class Ending { kEnd, kCut, kOpen };

ScriptedServer::Script Stream(const std::string& data, Ending ending) {
  return [data, ending](const http::Request& request,
                        const http::ResponderPtr& responder) {
    if (request.target == "/abort_requests") {
      responder->SendWhole({});
      return;
    }
    responder->BeginStream(200, {{"Content-Type", "text/event-stream"}});
    responder->SendData(data);
    if (ending == Ending::kEnd) {
      responder->EndStream();
    } else if (ending == Ending::kCut) {
      responder->Abort();
    }
  };
}

// Sends events until more of them stay unsent than a reader takes at a time:
// then the sockets of both sides are full. Returns the number of events sent.
std::size_t SendUntilUnread(http::Responder& responder) {
  constexpr std::size_t kMaxEvents = 20000;
  constexpr std::size_t kBatch = 100;
  constexpr std::size_t kUnread = std::size_t{1024} * 1024;
  const std::string event = TextEvent(std::string(900, 'x'));
  std::size_t sent = 0;
  while (sent < kMaxEvents && responder.unsent_bytes() < kUnread) {
    for (std::size_t i = 0; i < kBatch; ++i, ++sent) {
      responder.SendData(event);
    }
    QCoreApplication::processEvents();
  }
  return sent;
}

// Waits for `count` events. Each wait is for one further event, so a slow
// machine passes and a stalled machine fails.
void AwaitEvents(const EngineUnderTest& under_test, std::size_t count) {
  while (under_test.events.size() < count) {
    const std::size_t before = under_test.events.size();
    RunUntil([&] { return under_test.events.size() > before; });
  }
  CPPUNIT_ASSERT_EQUAL(count, under_test.events.size());
}

EngineOptions Options(const http::Address& address) {
  return {.address = address,
          .endpoint = EndpointId("p1"),
          .kv_bytes_per_token = 10,
          .silence_timeout = 20s,
          .min_abort_retry = 1ms,
          .max_event_bytes = 1000};
}

// The body that the engine received for a command.
Json SentBody(const EngineCommand& command) {
  ScriptedServer server(Whole(500, ""));
  EngineUnderTest under_test(Options(server.address()));
  under_test.Await<AttemptFailed>(command);
  return Json::parse(server.requests.front().body);
}

// A member of the body that the engine receives; null: no such member.
struct BodyRow {
  std::string name;
  EngineCommand command;
  std::string pointer;
  Json expected;
};

void CheckBody(const BodyRow& row) {
  const Json body = SentBody(row.command);
  const Json::json_pointer pointer(row.pointer);
  CPPUNIT_ASSERT_EQUAL(
      row.expected.dump(),
      (body.contains(pointer) ? body[pointer] : Json()).dump());
}

std::string BodyName(const BodyRow& row) {
  return row.name;
}

Decode Resumed(GenerationApi api, const std::string& body) {
  Decode decode = kDecode;
  decode.generation.api = api;
  decode.generation.body = body;
  decode.generation.resumed_text = " a";
  return decode;
}

const Decode kResumed = Resumed(GenerationApi::kCompletions, kRequest.body);
const Decode kResumedChat =
    Resumed(GenerationApi::kChat,
            R"({"messages":[{"role":"user","content":"x"}]})");

struct FaultRow {
  std::string name;
  ScriptedServer::Script script;
  ResultCode code = ResultCode::kEngineFailed;
  Outcome outcome = Outcome::kUnknown;
};

void CheckFault(const FaultRow& row, const EngineCommand& command) {
  ScriptedServer server(row.script);
  EngineOptions options = Options(server.address());
  options.silence_timeout = 50ms;
  EngineUnderTest under_test(options);
  const auto failed = under_test.Await<AttemptFailed>(command);
  CPPUNIT_ASSERT(failed.attempt == kAttempt);
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.code),
                       static_cast<int>(failed.code));
  CPPUNIT_ASSERT(row.outcome == failed.outcome);
}

std::string FaultName(const FaultRow& row) {
  return row.name;
}

const std::vector<FaultRow> kFaultsOfBoth = {
    {"answers 500", Whole(500, "oops")},
    {"answers 500 with an error of its own", Whole(500, ErrorBody("odd"))},
    {"says that its memory is full", Whole(503, ErrorBody("memory_full")),
     ResultCode::kNoDecodeMemory, Outcome::kNotRun},
    {"says that the export is gone", Whole(404, ErrorBody("kv_expired")),
     ResultCode::kExportExpired, Outcome::kNotRun},
    {"does not know the model", Whole(404, ErrorBody("model_not_found")),
     ResultCode::kUnknownModel, Outcome::kNotRun},
    {"refuses the request", Whole(400, ErrorBody("bad")),
     ResultCode::kInvalidParameter, Outcome::kNotRun},
    {"cuts the connection before its answer",
     [](const auto&, const auto& responder) { responder->Abort(); }},
};

const testing::Story kPrefillStory(
    "a prefill on an OpenAI-compatible engine",
    {ForEach<BodyRow>("asks for",
                      {{"one token", kPrefill, "/max_tokens", 1},
                       {"an answer in one piece", kPrefill, "/stream", false},
                       {"the model by its own name", kPrefill, "/model",
                        "review-1"},
                       {"what else the caller set", kPrefill, "/seed", 5},
                       {"the export", kPrefill,
                        "/kv_transfer_params/do_remote_decode", true}},
                      BodyName,
                      CheckBody),
     It("reports the export, its size and the usage",
        [] {
          ScriptedServer server(Whole(200, kPrefillAnswer));
          EngineUnderTest under_test(Options(server.address()));
          const auto done = under_test.Await<PrefillDone>(kPrefill);
          CPPUNIT_ASSERT(done.kv.prefill_endpoint == EndpointId("p1"));
          CPPUNIT_ASSERT_EQUAL(std::string(R"({"remote_port":9})"),
                               done.kv.transfer_params);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, done.kv.bytes);
          CPPUNIT_ASSERT_EQUAL(4U, done.usage.cached_tokens);
          CPPUNIT_ASSERT_EQUAL(
              ToString(kAttempt),
              std::string(*http::FindHeader(server.requests[0].headers,
                                            "x-request-id")));
        }),
     ForEach<FaultRow>("fails when the engine",
                       kFaultsOfBoth,
                       FaultName,
                       [](const FaultRow& row) { CheckFault(row, kPrefill); }),
     ForEach<FaultRow>(
         "fails when the engine",
         {{"answers with no JSON", Whole(200, "{"),
           ResultCode::kEngineBadAnswer},
          {"answers without an export",
           Whole(200, R"({"usage":{},"kv_transfer_params":null})"),
           ResultCode::kEngineBadAnswer},
          {"stays silent", [](const auto&, const auto&) {}}},
         FaultName,
         [](const FaultRow& row) { CheckFault(row, kPrefill); })});

const testing::Story kDecodeStory(
    "a stream from an OpenAI-compatible engine",
    {ForEach<BodyRow>("asks for",
                      {{"all its tokens", kDecode, "/max_tokens", 7},
                       {"its priority", kDecode, "/priority", 2},
                       {"a stream", kDecode, "/stream", true},
                       {"the usage", kDecode, "/stream_options/include_usage",
                        true},
                       {"the export", kDecode,
                        "/kv_transfer_params/do_remote_prefill", true},
                       {"no export where there is none",
                        Decode{.attempt = kAttempt, .generation = kRequest},
                        "/kv_transfer_params", nullptr}},
                      BodyName,
                      CheckBody),
     ForEach<BodyRow>("that is resumed goes on",
                      {{"after the prompt and the delivered text", kResumed,
                        "/prompt", "abc a"},
                       {"in a chat's last message", kResumedChat,
                        "/messages/1/content", " a"},
                       {"within that message", kResumedChat,
                        "/continue_final_message", true},
                       {"without a new one", kResumedChat,
                        "/add_generation_prompt", false}},
                      BodyName,
                      CheckBody),
     It("that is resumed is refused as not run for a prompt of token ids",
        [] {
          EngineUnderTest under_test(Options(ClosedAddress()));
          const auto failed = under_test.Await<AttemptFailed>(
              Resumed(GenerationApi::kCompletions, R"({"prompt":[1,2]})"));
          CPPUNIT_ASSERT(failed.code == ResultCode::kInvalidParameter);
          CPPUNIT_ASSERT(failed.outcome == Outcome::kNotRun);
        }),
     It("sends each text once, in order, then its end",
        [] {
          ScriptedServer server(Stream(kWholeStream, Ending::kEnd));
          EngineUnderTest under_test(Options(server.address()));
          const auto done = under_test.Await<StreamDone>(kDecode);
          CPPUNIT_ASSERT(done.reason == FinishReason::kLength);
          CPPUNIT_ASSERT_EQUAL(2U, done.usage.output_tokens);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, under_test.events.size());
          const auto& second = std::get<Text>(under_test.events[1]);
          CPPUNIT_ASSERT_EQUAL(std::string(" b"), second.text);
          CPPUNIT_ASSERT_EQUAL(1U, second.tokens);
        }),
     It("counts tokens by the usage of each event where there is one",
        [] {
          const std::string event =
              R"(data: {"choices":[{"index":0,"delta":{"content":"ab"},)"
              R"("finish_reason":null}],"usage":{"completion_tokens":3}})"
              "\n\n";
          ScriptedServer server(Stream(event, Ending::kOpen));
          EngineUnderTest under_test(Options(server.address()));
          CPPUNIT_ASSERT_EQUAL(3U, under_test.Await<Text>(kDecode).tokens);
        }),
     It("stops reading while paused, and loses nothing",
        [] {
          ScriptedServer server(Stream(TextEvent("0"), Ending::kOpen));
          EngineUnderTest under_test(Options(server.address()));
          under_test.Await<Text>(kDecode);
          under_test.engine->Execute(
              SetPaused{.attempt = kAttempt, .paused = true});
          const http::ResponderPtr responder = server.responders[0];
          const std::size_t sent = 1 + SendUntilUnread(*responder);
          CPPUNIT_ASSERT(responder->unsent_bytes() > 0);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, under_test.events.size());
          under_test.engine->Execute(
              SetPaused{.attempt = kAttempt, .paused = false});
          AwaitEvents(under_test, sent);
        }),
     ForEach<FaultRow>("fails when the engine",
                       kFaultsOfBoth,
                       FaultName,
                       [](const FaultRow& row) { CheckFault(row, kDecode); }),
     ForEach<FaultRow>(
         "fails when the engine",
         {{"cuts the connection within an event",
           Stream(TextEvent(" a") + "data: {\"cho", Ending::kCut)},
          {"ends before the stream's end mark",
           Stream(TextEvent(" a", "\"stop\""), Ending::kEnd)},
          {"ends without a reason",
           Stream(TextEvent(" a") + "data: [DONE]\n\n", Ending::kEnd),
           ResultCode::kEngineBadAnswer},
          {"gives a reason that is none",
           Stream(TextEvent("", "\"abort\""), Ending::kOpen),
           ResultCode::kEngineBadAnswer},
          {"sends an event that is no JSON",
           Stream("data: {\n\n", Ending::kOpen), ResultCode::kEngineBadAnswer},
          {"sends an event without end",
           Stream("data: " + std::string(2000, 'x'), Ending::kOpen),
           ResultCode::kEngineBadAnswer},
          {"sends an error in the stream",
           Stream(TextEvent(" a") + "data: " + ErrorBody("odd") + "\n\n",
                  Ending::kOpen)},
          {"loses the export in the stream",
           Stream("data: " + ErrorBody("kv_expired") + "\n\n", Ending::kOpen),
           ResultCode::kExportExpired}},
         FaultName,
         [](const FaultRow& row) { CheckFault(row, kDecode); }),
     It("sends no event after it failed or ended", [] {
       for (const std::string& data : {kWholeStream + TextEvent("late"),
                                       "data: {\n\n" + TextEvent("late")}) {
         ScriptedServer server(Stream(data, Ending::kOpen));
         EngineUnderTest under_test(Options(server.address()));
         under_test.engine->Execute(kDecode);
         RunUntil([&] { return !under_test.events.empty(); });
         const auto& last = under_test.events.back();
         CPPUNIT_ASSERT(std::holds_alternative<StreamDone>(last) ||
                        std::holds_alternative<AttemptFailed>(last));
       }
     })});

const testing::Story kAbortStory(
    "an abort on an OpenAI-compatible engine",
    {It("closes the connection, names the attempt, and stops its events",
        [] {
          ScriptedServer server(Stream(TextEvent(" a"), Ending::kOpen));
          EngineUnderTest under_test(Options(server.address()));
          under_test.Await<Text>(kDecode);
          under_test.engine->Execute(Abort{.attempt = kAttempt});
          RunUntil([&] {
            return server.responders[0]->gone() &&
                   server.Count("/abort_requests") == 1;
          });
          CPPUNIT_ASSERT_EQUAL(
              R"({"request_ids":[")" + ToString(kAttempt) + "\"]}",
              server.requests.back().body);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, under_test.events.size());
        }),
     It("may come from inside the event that it answers",
        [] {
          ScriptedServer server(
              Stream(TextEvent(" a") + TextEvent(" b"), Ending::kOpen));
          EngineUnderTest under_test(Options(server.address()));
          std::size_t events = 0;
          under_test.engine->SetOnEvent([&](const EngineEvent&) {
            ++events;
            under_test.engine->Execute(Abort{.attempt = kAttempt});
          });
          under_test.engine->Execute(kDecode);
          RunUntil([&] { return server.Count("/abort_requests") == 1; });
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events);
        }),
     It("is sent again until the engine accepts it", [] {
       // Guards against KV memory that stays held for a request that has ended.
       // The engine answers an abort with 500, or not at all, and the abort was
       // sent only once.
       int answers = 0;
       ScriptedServer server(
           [&answers](const auto&, const http::ResponderPtr& responder) {
             if (++answers == 1) {
               responder->SendWhole({.status = 500});
             } else if (answers == 2) {
               responder->Abort();
             } else {
               responder->SendWhole({.status = 200});
             }
           });
       EngineUnderTest under_test(Options(server.address()));
       under_test.engine->Execute(Abort{.attempt = kAttempt});
       RunUntil([&] { return server.Count("/abort_requests") == 3; });
       CPPUNIT_ASSERT_EQUAL(server.requests[0].body, server.requests[2].body);
     })});

struct OrderRow {
  std::string name;
  int status;
  std::string body;
  ResultCode code;
};

const testing::Story kControlStory(
    "the control routes of an OpenAI-compatible engine",
    {It("list the attempts that it holds, and no other request",
        [] {
          ScriptedServer server(
              Whole(200, R"({"requests":[{"request_id":"cmpl-1"},)"
                         R"({"request_id":")" +
                             ToString(kAttempt) + "\"}]}"));
          EngineUnderTest under_test(Options(server.address()));
          const auto held = under_test.Await<Held>(ListHeld{});
          CPPUNIT_ASSERT(held.attempts == std::vector{kAttempt});
        }),
     ForEach<FaultRow>("fail to list when the engine",
                       {{"answers 500", Whole(500, "")},
                        {"answers with no list", Whole(200, "{}")},
                        {"cuts the connection",
                         [](const auto&, const auto& responder) {
                           responder->Abort();
                         }}},
                       FaultName,
                       [](const FaultRow& row) {
                         ScriptedServer server(row.script);
                         EngineUnderTest under_test(Options(server.address()));
                         under_test.Await<ListFailed>(ListHeld{});
                       }),
     ForEach<OrderRow>(
         "take an order's answer:",
         {{"done", 200, "{}", ResultCode::kOk},
          {"fenced", 409, ErrorBody("fenced"), ResultCode::kOrderFenced},
          {"refused", 409, ErrorBody("busy"), ResultCode::kOrderRefused},
          {"failed", 500, "", ResultCode::kOrderRefused}},
         [](const OrderRow& row) { return row.name; },
         [](const OrderRow& row) {
           ScriptedServer server(Whole(row.status, row.body));
           EngineUnderTest under_test(Options(server.address()));
           const auto done = under_test.Await<OrderDone>(
               Order{.fencing_token = LogOffset(8), .adapters = {"isbn"}});
           CPPUNIT_ASSERT(done.fencing_token == LogOffset(8));
           CPPUNIT_ASSERT(done.code == row.code);
           CPPUNIT_ASSERT(Json::parse(server.requests[0].body)["fence"] == 8);
         }),
     It("read its state",
        [] {
          ScriptedServer server(Whole(
              200, R"({"fence":8,"model":"m","version":"2","adapters":["a"],)"
                   R"("role":"decode","loading":true})"));
          EngineUnderTest under_test(Options(server.address()));
          const auto state = under_test.Await<EngineState>(ReadState{});
          CPPUNIT_ASSERT(state.code == ResultCode::kOk);
          CPPUNIT_ASSERT(state.fencing_token == LogOffset(8) && state.loading);
          CPPUNIT_ASSERT(state.adapters == std::vector<std::string>{"a"});
        }),
     It("report that an engine is unreachable and that nothing ran", [] {
       EngineUnderTest under_test(Options(ClosedAddress()));
       for (const EngineCommand& command :
            {EngineCommand(kPrefill), EngineCommand(kDecode)}) {
         const auto failed = under_test.Await<AttemptFailed>(command);
         CPPUNIT_ASSERT(failed.code == ResultCode::kEngineUnavailable);
         CPPUNIT_ASSERT(failed.outcome == Outcome::kNotRun);
         under_test.events.clear();
       }
       under_test.Await<ListFailed>(ListHeld{});
       under_test.events.clear();
       CPPUNIT_ASSERT(under_test.Await<OrderDone>(Order{}).code ==
                      ResultCode::kEngineUnavailable);
       under_test.events.clear();
       CPPUNIT_ASSERT(under_test.Await<EngineState>(ReadState{}).code ==
                      ResultCode::kEngineUnavailable);
       under_test.events.clear();
       CPPUNIT_ASSERT(under_test.Await<AttemptFailed>(Call{}).code ==
                      ResultCode::kWrongRole);
     })});

}  // namespace
}  // namespace acacialug::engine
