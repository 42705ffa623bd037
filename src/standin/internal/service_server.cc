#include "standin/service_server.h"

#include <QTimer>
#include <unordered_map>
#include <utility>

#include "framework/http/http_server.h"
#include "standin/internal/completion_format.h"
#include "standin/internal/delay_line.h"
#include "standin/internal/http_faults.h"
#include "standin/internal/json_access.h"
#include "standin/internal/timer_wait.h"
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
        faults(this->random),
        inbound(this->options.one_way_delay),
        outbound(this->options.one_way_delay),
        server({.listen = this->options.listen,
                .make_handler =
                    [this](int) {
                      return [this](http::Request request,
                                    http::ResponderPtr responder) {
                        this->Receive(std::move(request), std::move(responder));
                      };
                    },
                .render_error =
                    [](int status, const Error& error) {
                      return ErrorResponse(status, "http",
                                           error.code.message());
                    }}) {
    this->timer.setSingleShot(true);
    this->timer.setTimerType(Qt::PreciseTimer);
    this->timer.callOnTimeout([this] { this->Pump(); });
  }

  void Receive(http::Request request, http::ResponderPtr responder) {
    if (request.Path() == "/control") {
      this->Control(request, *responder);
      return;
    }
    // The test's own question: never held, late or lost.
    if (request.Path() == "/executions") {
      responder->SendWhole(JsonResponse(200, this->model.executions()));
      return;
    }
    this->inbound.Run([this, request = std::move(request),
                       responder = std::move(responder)]() mutable {
      this->faults.RunOrHold([this, request = std::move(request),
                              responder = std::move(responder)] {
        this->Call(request, responder);
      });
    });
  }

  void Call(const http::Request& request, const http::ResponderPtr& responder) {
    if (responder->gone()) {
      return;
    }
    if (request.Path() == "/health") {
      this->Answer(responder, JsonResponse(200, json::object()));
      return;
    }
    const CallId call = this->model.Submit(KeysOf(request), MonotonicNow());
    this->exchanges[call] = {.responder = responder,
                             .answer = ReferenceServiceAnswer(
                                 request.method, request.target, request.body)};
    responder->SetOnGone([this, call] {
      this->inbound.Run([this, call] { this->Drop(call); });
    });
    this->Pump();
  }

  void Drop(CallId call) {
    if (this->exchanges.erase(call) > 0) {
      this->model.Cancel(call, MonotonicNow());
      this->Pump();
    }
  }

  void Control(const http::Request& request, http::Responder& responder) {
    const json control = Parse(request.body);
    if (!control.is_object()) {
      responder.SendWhole(ErrorResponse(400, "invalid_request", "no object"));
      return;
    }
    ServiceFaults& set = this->service_faults;
    set.refuse = BoolOr(control, "refuse", set.refuse);
    set.fail_share = NumberOr(control, "fail_share", set.fail_share);
    set.slow_factor = NumberOr(control, "slow_factor", set.slow_factor);
    this->model.SetFaults(set);
    this->faults.Set(control);
    responder.SendWhole(JsonResponse(200, json::object()));
  }

  void Answer(const http::ResponderPtr& responder, http::Response response) {
    this->outbound.Run(
        [this, responder, response = std::move(response)]() mutable {
          this->faults.Answer(ReplyTo(responder), std::move(response));
        });
  }

  void Pump() {
    this->model.Advance(MonotonicNow());
    for (const CallOutput& output : this->model.TakeOutputs()) {
      this->Tell(output);
    }
    const Instant next = this->model.next_event();
    if (next == kNever) {
      this->timer.stop();
    } else {
      this->timer.start(TimerWait(next, MonotonicNow()));
    }
  }

  void Tell(const CallOutput& output) {
    auto taken = this->exchanges.extract(output.call);
    if (!taken) {
      return;
    }
    Exchange& exchange = taken.mapped();
    exchange.responder->SetOnGone({});
    switch (output.result) {
      case CallResult::kDone:
        this->TellDone(exchange);
        break;
      case CallResult::kFailed:
        this->Answer(exchange.responder,
                     ErrorResponse(500, "failed", "after its effect"));
        break;
      case CallResult::kRefused:
        this->Answer(exchange.responder,
                     ErrorResponse(503, "refused", "not run"));
        break;
    }
  }

  // A stalled service neither begins calls nor answers those it began.
  void TellDone(Exchange& exchange) {
    http::Response response{.status = 200,
                            .headers = {{"Content-Type", "application/json"}},
                            .body = std::move(exchange.answer)};
    this->faults.RunOrHold(
        [this, responder = exchange.responder, response = std::move(response)] {
          this->Answer(responder, response);
        });
  }

  ServiceServerOptions options;
  RandomSource random;
  ServiceModel model;
  ServiceFaults service_faults;
  HttpFaults faults;
  DelayLine inbound;
  DelayLine outbound;
  QTimer timer;
  std::unordered_map<CallId, Exchange> exchanges;
  http::Server server;
};

ServiceServer::ServiceServer(ServiceServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

ServiceServer::~ServiceServer() = default;

Status ServiceServer::Start() {
  return this->implementation->server.Start();
}

http::Address ServiceServer::address() const {
  return {.ip = this->implementation->options.listen.ip,
          .port = this->implementation->server.port()};
}

}  // namespace acacialug::standin
