#include "standin/service_server.h"

#include <unordered_map>
#include <utility>

#include "standin/internal/http_shell.h"
#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/reference_answer.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

struct Exchange {
  http::ResponderPtr responder;
  std::string answer;
};

// A call is counted by its key and by the marker in its body.
std::vector<std::string> KeysOf(const http::Request& request) {
  std::vector<std::string> keys;
  if (const auto key = http::FindHeader(request.headers, "Idempotency-Key")) {
    keys.emplace_back(*key);
  }
  std::string marker = TextOr(Parse(request.body), "marker", "");
  if (!marker.empty() && (keys.empty() || keys.front() != marker)) {
    keys.push_back(std::move(marker));
  }
  return keys;
}

}  // namespace

class ServiceServer::Implementation {
 public:
  explicit Implementation(ServiceServerOptions server_options)
      : options(std::move(server_options)),
        random(this->options.seed),
        model(this->options.service, this->random),
        shell({.listen = this->options.listen,
               .one_way_delay = this->options.one_way_delay,
               .on_request =
                   [this](const http::Request& request,
                          const http::ResponderPtr& responder) {
                     this->Call(request, responder);
                   },
               .on_question =
                   [this](const http::Request& request) {
                     return this->Question(request);
                   },
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

  std::optional<http::Response> Question(const http::Request& request) const {
    if (request.Path() != "/executions") {
      return std::nullopt;
    }
    return JsonResponse(200, this->model.executions());
  }

  void Call(const http::Request& request, const http::ResponderPtr& responder) {
    if (request.Path() == "/health") {
      this->shell.Answer(responder, JsonResponse(200, json::object()));
      return;
    }
    const CallId call = this->model.Submit(KeysOf(request), MonotonicNow());
    this->exchanges[call] = {.responder = responder,
                             .answer = ReferenceServiceAnswer(
                                 request.method, request.target, request.body)};
    responder->SetOnGone([this, call] {
      this->shell.Arrive([this, call] { this->Drop(call); });
    });
    this->shell.Pump();
  }

  void Drop(CallId call) {
    if (this->exchanges.erase(call) > 0) {
      this->model.Cancel(call, MonotonicNow());
      this->shell.Pump();
    }
  }

  void Control(const json& control) {
    ServiceFaults& set = this->service_faults;
    set.refuse = BoolOr(control, "refuse", set.refuse);
    set.fail_share = NumberOr(control, "fail_share", set.fail_share);
    set.slow_factor = NumberOr(control, "slow_factor", set.slow_factor);
    this->model.SetFaults(set);
    if (BoolOr(control, "restart", false)) {
      this->model.Restart(MonotonicNow());
    }
  }

  Instant PumpModel() {
    this->model.Advance(MonotonicNow());
    for (const CallOutput& output : this->model.TakeOutputs()) {
      this->OnOutput(output);
    }
    return this->model.next_event();
  }

  void OnOutput(const CallOutput& output) {
    auto taken = this->exchanges.extract(output.call);
    if (!taken) {
      return;
    }
    Exchange& exchange = taken.mapped();
    exchange.responder->SetOnGone({});
    switch (output.result) {
      case CallResult::kDone:
        this->shell.Answer(exchange.responder,
                           {.status = 200,
                            .headers = {{"Content-Type", "application/json"}},
                            .body = std::move(exchange.answer)});
        break;
      case CallResult::kFailed:
        this->shell.Answer(exchange.responder,
                           ErrorResponse(500, "failed", "after its effect"));
        break;
      case CallResult::kLost:
        exchange.responder->Abort();
        break;
      case CallResult::kRefused:
        this->shell.Answer(exchange.responder,
                           ErrorResponse(503, "refused", "not run"));
        break;
    }
  }

  ServiceServerOptions options;
  RandomSource random;
  ServiceModel model;
  ServiceFaults service_faults;
  std::unordered_map<CallId, Exchange> exchanges;
  HttpShell shell;
};

ServiceServer::ServiceServer(ServiceServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

ServiceServer::~ServiceServer() = default;

Status ServiceServer::Start() {
  return this->implementation->shell.Start();
}

http::Address ServiceServer::address() const {
  return this->implementation->shell.address();
}

}  // namespace acacialug::standin
