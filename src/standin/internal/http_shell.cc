#include "standin/internal/http_shell.h"

#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/timer_wait.h"

namespace acacialug::standin {

HttpShell::HttpShell(Options shell_options, RandomSource& random)
    : faults(random),
      options(std::move(shell_options)),
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
                    return ErrorResponse(status, "http", error.code.message());
                  }}) {
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  this->timer.callOnTimeout([this] { this->Pump(); });
  this->faults.on_stall = [this](bool stalled, Instant until) {
    this->options.on_stall(stalled, until);
    this->Pump();
  };
}

http::Address HttpShell::address() const {
  return {.ip = this->options.listen.ip, .port = this->server.port()};
}

void HttpShell::Pump() {
  const Instant next = this->options.on_pump();
  if (next == kNever) {
    this->timer.stop();
  } else {
    this->timer.start(TimerWait(next, MonotonicNow()));
  }
}

void HttpShell::Arrive(std::function<void()> task) {
  this->inbound.Run(
      [this, task = std::move(task)] { this->faults.RunOrHold(task); });
}

void HttpShell::Answer(const http::ResponderPtr& responder,
                       http::Response response) {
  this->Send([this, responder, response = std::move(response)] {
    this->faults.Answer(ReplyTo(responder), response);
  });
}

void HttpShell::Receive(http::Request request, http::ResponderPtr responder) {
  if (request.Path() == "/control") {
    this->Control(request, *responder);
    return;
  }
  if (const auto answer = this->options.on_question(request)) {
    responder->SendWhole(*answer);
    return;
  }
  if (this->faults.LosesRequest()) {
    responder->Abort();
    return;
  }
  this->Arrive(
      [this, request = std::move(request), responder = std::move(responder)] {
        if (!responder->gone()) {
          this->options.on_request(request, responder);
        }
      });
}

// Never delayed, held or lost, since the test controls the stand-in by it.
void HttpShell::Control(const http::Request& request,
                        http::Responder& responder) {
  const nlohmann::json control = Parse(request.body);
  if (!control.is_object()) {
    responder.SendWhole(ErrorResponse(400, "invalid_request", "no object"));
    return;
  }
  this->options.on_control(control);
  this->faults.Set(control);
  responder.SendWhole(JsonResponse(200, nlohmann::json::object()));
  this->Pump();
}

}  // namespace acacialug::standin
