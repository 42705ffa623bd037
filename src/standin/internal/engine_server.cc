#include "standin/engine_server.h"

#include <unordered_map>
#include <utility>

#include "standin/internal/completion_format.h"
#include "standin/internal/engine_reports.h"
#include "standin/internal/http_shell.h"
#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/kv_puller.h"
#include "standin/internal/query.h"
#include "standin/reference_answer.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;
using protocol::GenerationApi;

// One generation in progress.
struct Exchange {
  CompletionHead head;
  http::ResponderPtr responder;
  bool stream = false;
  bool include_usage = false;
  bool continuous_usage = false;
  bool begun = false;
  bool lost = false;      // by a fault: the connection is closed at the answer
  bool unframed = false;  // by a fault: without length or chunks
  bool cut = false;       // by a fault: ends in order inside an event
  std::string text;       // of an answer that is not streamed
  protocol::Usage usage;
};

}  // namespace

class EngineServer::Implementation {
 public:
  explicit Implementation(EngineServerOptions server_options)
      : options(std::move(server_options)),
        random(this->options.seed),
        model(this->options.engine, this->random),
        shell({.listen = this->options.listen,
               .one_way_delay = this->options.one_way_delay,
               .on_request =
                   [this](const http::Request& request,
                          const http::ResponderPtr& responder) {
                     this->Route(request, responder);
                   },
               .on_question = [](const http::Request&) { return std::nullopt; },
               .on_control =
                   [this](const json& control) { this->Control(control); },
               .on_stall =
                   [this](bool stalled, Instant until) {
                     this->OnStall(stalled, until);
                   },
               .on_pump = [this] { return this->PumpModel(); }},
              this->random) {}

  void OnStall(bool stalled, Instant until) {
    if (stalled) {
      this->model.Stall(until, MonotonicNow());
    } else {
      this->model.Resume(MonotonicNow());
    }
  }

  void Route(const http::Request& request,
             const http::ResponderPtr& responder) {
    const std::string_view path = request.Path();
    if (path == "/v1/completions" && request.method == "POST") {
      this->Generate(GenerationApi::kCompletions, request, responder);
    } else if (path == "/v1/chat/completions" && request.method == "POST") {
      this->Generate(GenerationApi::kChat, request, responder);
    } else {
      this->shell.Answer(responder, request.method == "POST"
                                        ? this->Operate(request)
                                        : this->Report(request));
    }
    this->shell.Pump();
  }

  http::Response Operate(const http::Request& request) {
    const std::string_view path = request.Path();
    if (path == "/abort_requests") {
      return this->AbortRequests(request.body);
    }
    if (path == "/kv_pull") {
      return this->AnswerPull(request.body);
    }
    if (path == "/orders") {
      return this->TakeOrder(request.body);
    }
    return ErrorResponse(404, "not_found", "no such route");
  }

  http::Response Report(const http::Request& request) {
    const std::string_view path = request.Path();
    const Instant now = MonotonicNow();
    this->model.Advance(now);
    if (path == "/health") {
      return JsonResponse(200, json::object());
    }
    if (path == "/requests") {
      return JsonResponse(200, HeldJson(this->model.held()));
    }
    if (path == "/load") {
      return JsonResponse(200, LoadJson(this->model.load(now)));
    }
    if (path == "/state") {
      return JsonResponse(200, StateJson(this->model.state(now)));
    }
    if (path == "/stats") {
      return JsonResponse(200, StatsJson(this->model.stats()));
    }
    if (path == "/cache_events") {
      const std::uint64_t after = QueryNumber(request.target, "after", 0);
      return JsonResponse(
          200,
          CacheEventsJson(this->model.CacheEventsAfter(after, now), after));
    }
    return ErrorResponse(404, "not_found", "no such route");
  }

  void Generate(GenerationApi api,
                const http::Request& request,
                const http::ResponderPtr& responder) {
    const auto header = http::FindHeader(request.headers, "X-Request-Id");
    std::string id = header ? std::string(*header)
                            : "unnamed-" + std::to_string(++this->unnamed);
    Result<CompletionRequest> result =
        ReadCompletion(api, request.body, std::move(id));
    if (!result) {
      this->shell.Answer(responder, ErrorResponse(400, "invalid_request",
                                                  result.error().detail));
      return;
    }
    CompletionRequest& read = result.value();
    EngineWork& work = read.work;
    if (this->exchanges.contains(work.request_id)) {
      this->shell.Answer(responder, ErrorResponse(EngineError::kDuplicate));
      return;
    }
    const std::string request_id = work.request_id;
    const bool streams = read.stream && !work.export_kv;
    const bool unframed = streams && this->shell.faults.IsUnframed();
    this->exchanges[request_id] = {
        .head = MakeHead(api, request_id, work.model),
        .responder = responder,
        .stream = streams,
        .include_usage = read.include_usage,
        .continuous_usage = read.continuous_usage,
        .lost = this->shell.faults.LosesAnswer(),
        .unframed = unframed,
        .cut = unframed && this->shell.faults.CutsUnframed(),
        .usage = {.prompt_tokens = PromptTokens(work.prompt)}};
    responder->SetOnGone([this, request_id] {
      this->shell.Arrive([this, request_id] { this->Drop(request_id); });
    });
    this->model.Submit(std::move(work), MonotonicNow());
  }

  // The caller's connection was closed first.
  void Drop(const std::string& request_id) {
    const auto found = this->exchanges.find(request_id);
    if (found != this->exchanges.end() && found->second.responder->gone()) {
      this->exchanges.erase(found);
      this->model.Abort(request_id, MonotonicNow());
      this->shell.Pump();
    }
  }

  http::Response AbortRequests(const std::string& body) {
    for (const json& id : ChildOr(Parse(body), "request_ids")) {
      if (!id.is_string()) {
        continue;
      }
      const std::string request_id = id.get<std::string>();
      this->model.Abort(request_id, MonotonicNow());
      if (auto gone = this->exchanges.extract(request_id)) {
        gone.mapped().responder->SetOnGone({});
        gone.mapped().responder->Abort();
      }
    }
    return JsonResponse(200, json::object());
  }

  http::Response AnswerPull(const std::string& body) {
    const json pull = Parse(body);
    const std::string engine = TextOr(pull, "remote_engine_id", "");
    const std::string request = TextOr(pull, "remote_request_id", "");
    const Instant now = MonotonicNow();
    if (BoolOr(pull, "done", false)) {
      return this->model.EndPull(engine, request, now)
                 ? JsonResponse(200, json::object())
                 : ErrorResponse(EngineError::kKvExpired);
    }
    const auto tokens = this->model.BeginPull(engine, request, now);
    return tokens ? JsonResponse(200, {{"tokens", *tokens}})
                  : ErrorResponse(EngineError::kKvExpired);
  }

  http::Response TakeOrder(const std::string& body) {
    const Result<EngineOrder> order = ReadOrder(body);
    if (!order) {
      return ErrorResponse(400, "invalid_request", order.error().detail);
    }
    return this->model.ApplyOrder(*order, MonotonicNow())
               ? JsonResponse(200, json::object())
               : ErrorResponse(409, "fenced", "an older order");
  }

  void Control(const json& control) {
    const Instant now = MonotonicNow();
    EngineFaults& set = this->engine_faults;
    set.refuse = BoolOr(control, "refuse", set.refuse);
    set.fail_share = NumberOr(control, "fail_share", set.fail_share);
    set.slow_factor = NumberOr(control, "slow_factor", set.slow_factor);
    set.link_factor = NumberOr(control, "link_factor", set.link_factor);
    this->model.SetFaults(set, now);
    if (BoolOr(control, "evict_exports", false)) {
      this->model.EvictExports(now);
    }
    if (BoolOr(control, "restart", false)) {
      this->model.Restart(now);
    }
  }

  Instant PumpModel() {
    this->model.Advance(MonotonicNow());
    // Handling one output may cause further ones.
    for (auto outputs = this->model.TakeOutputs(); !outputs.empty();
         outputs = this->model.TakeOutputs()) {
      for (const EngineOutput& output : outputs) {
        std::visit([this](const auto& typed) { this->OnOutput(typed); },
                   output);
      }
    }
    return this->model.next_event();
  }

  // Empty if the caller is gone, or its answer is lost due to a fault.
  std::optional<Exchange> TakeExchange(const std::string& request_id) {
    auto taken = this->exchanges.extract(request_id);
    if (!taken) {
      return std::nullopt;
    }
    taken.mapped().responder->SetOnGone({});
    if (taken.mapped().lost) {
      taken.mapped().responder->Abort();
      return std::nullopt;
    }
    return std::move(taken.mapped());
  }

  void OnOutput(const PrefillReady& ready) {
    if (const auto exchange = this->TakeExchange(ready.request_id)) {
      this->shell.Answer(
          exchange->responder,
          PrefillAnswer(exchange->head, ready, this->model.engine_id(),
                        this->shell.address()));
    }
  }

  void OnOutput(const TokensMade& made) {
    const auto found = this->exchanges.find(made.request_id);
    if (found == this->exchanges.end()) {
      return;
    }
    Exchange& exchange = found->second;
    exchange.usage.output_tokens += made.tokens;
    if (!exchange.stream) {
      exchange.text += made.text;
      return;
    }
    this->BeginStream(exchange);
    std::string event =
        TextEvent(exchange.head, made.text,
                  exchange.continuous_usage ? std::optional(exchange.usage)
                                            : std::nullopt);
    if (exchange.cut) {
      this->EndStream(exchange.responder,
                      this->shell.faults.Cut(std::move(event)));
      this->TakeExchange(made.request_id);
      this->model.Abort(made.request_id, MonotonicNow());
      return;
    }
    this->SendData(exchange.responder, std::move(event));
    if (exchange.lost) {
      this->TakeExchange(made.request_id);
      this->model.Abort(made.request_id, MonotonicNow());
    }
  }

  void OnOutput(const WorkDone& done) {
    std::optional<Exchange> exchange = this->TakeExchange(done.request_id);
    if (!exchange) {
      return;
    }
    if (!exchange->stream) {
      this->shell.Answer(
          exchange->responder,
          WholeAnswer(exchange->head, exchange->text, done.reason, done.usage));
      return;
    }
    this->BeginStream(*exchange);
    std::string events = FinishEvent(exchange->head, done.reason);
    if (exchange->include_usage) {
      events += UsageEvent(exchange->head, done.usage);
    }
    this->EndStream(exchange->responder, events.append(kDoneEvent));
  }

  void OnOutput(const WorkFailed& failed) {
    const std::optional<Exchange> exchange =
        this->TakeExchange(failed.request_id);
    if (!exchange) {
      return;
    }
    if (failed.error == EngineError::kRestarted) {
      exchange->responder->Abort();
    } else if (exchange->begun) {
      this->EndStream(exchange->responder, ErrorEvent(failed.error));
    } else {
      this->shell.Answer(exchange->responder, ErrorResponse(failed.error));
    }
  }

  void OnOutput(const PullKv& pull) {
    this->puller.Pull(pull, [this, id = pull.request_id](bool found) {
      this->shell.faults.RunOrHold([this, id, found] {
        this->model.OnPullAnswered(id, found, MonotonicNow());
        this->shell.PumpSoon();
      });
    });
  }

  void BeginStream(Exchange& exchange) {
    if (std::exchange(exchange.begun, true)) {
      return;
    }
    this->shell.Send([responder = exchange.responder,
                      role = RoleEvent(exchange.head),
                      unframed = exchange.unframed] {
      const http::Headers headers{{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-cache"}};
      if (unframed) {
        responder->BeginUnframedStream(200, headers);
      } else {
        responder->BeginStream(200, headers);
      }
      if (!role.empty()) {
        responder->SendData(role);
      }
    });
  }

  void SendData(const http::ResponderPtr& responder, std::string data) {
    this->shell.Send(
        [responder, data = std::move(data)] { responder->SendData(data); });
  }

  void EndStream(const http::ResponderPtr& responder, std::string data) {
    this->shell.Send([responder, data = std::move(data)] {
      responder->SendData(data);
      responder->EndStream();
    });
  }

  EngineServerOptions options;
  RandomSource random;
  EngineModel model;
  EngineFaults engine_faults;
  std::unordered_map<std::string, Exchange> exchanges;  // by request id
  std::uint64_t unnamed = 0;
  KvPuller puller;
  HttpShell shell;
};

EngineServer::EngineServer(EngineServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

EngineServer::~EngineServer() = default;

Status EngineServer::Start() {
  return this->implementation->shell.Start();
}

http::Address EngineServer::address() const {
  return this->implementation->shell.address();
}

EngineModel& EngineServer::model() {
  return this->implementation->model;
}

void EngineServer::PumpNow() {
  this->implementation->shell.Pump();
}

}  // namespace acacialug::standin
