#ifndef STANDIN_INTERNAL_HTTP_SHELL_H_
#define STANDIN_INTERNAL_HTTP_SHELL_H_

#include <QTimer>
#include <functional>
#include <nlohmann/json.hpp>

#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "framework/http/http_server.h"
#include "standin/internal/delay_line.h"
#include "standin/internal/http_faults.h"

namespace acacialug::standin {

// The common parts of an engine and a plain service: a server, the network's
// delay before and after it, the faults, and the timer that drives the model.
// Lives on one thread with a Qt event loop.
class HttpShell {
 public:
  struct Options {
    http::Address listen;
    Duration one_way_delay{};
    // Handles a request after the delay and the stall.
    std::function<void(const http::Request&, const http::ResponderPtr&)>
        on_request;
    // Answers a test's queries at once and without faults; empty for other
    // requests.
    std::function<std::optional<http::Response>(const http::Request&)>
        on_question;
    // POST /control, after the shell has applied its own keys.
    std::function<void(const nlohmann::json& control)> on_control;
    std::function<void(bool stalled, Instant until)> on_stall;
    // Advances the model and forwards its outputs; returns when its next event
    // is due.
    std::function<Instant()> on_pump;
  };

  // `random` outlives the shell.
  HttpShell(Options shell_options, RandomSource& random);

  // Errors: kAddressInUse.
  Status Start() { return this->server.Start(); }
  // Precondition: Start succeeded.
  http::Address address() const;

  void Pump();
  // Pumps in the next iteration of the event loop.
  void PumpSoon() { this->timer.start(0); }

  // Delivers input from the network to the model, delayed and held as a
  // request.
  void Arrive(std::function<void()> task);
  // Sends output to the network, delayed.
  void Send(std::function<void()> task) { this->outbound.Run(std::move(task)); }
  void Answer(const http::ResponderPtr& responder, http::Response response);

  HttpFaults faults;

 private:
  void Receive(http::Request request, http::ResponderPtr responder);
  void Control(const http::Request& request, http::Responder& responder);

  Options options;
  DelayLine inbound;
  DelayLine outbound;
  QTimer timer;
  http::Server server;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_HTTP_SHELL_H_
