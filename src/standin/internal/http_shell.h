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

// What an engine and a plain service have in common: a server, the network's
// delay before and after it, the faults, and the timer that drives the model.
// Lives on one thread with a Qt event loop.
class HttpShell {
 public:
  struct Options {
    http::Address listen;
    Duration one_way_delay{};
    // A request that came through delay and stall.
    std::function<void(const http::Request&, const http::ResponderPtr&)>
        on_request;
    // A test's questions, answered at once and without faults; empty for
    // other requests.
    std::function<std::optional<http::Response>(const http::Request&)>
        on_question;
    // POST /control, after the shell took its part.
    std::function<void(const nlohmann::json& control)> on_control;
    std::function<void(bool stalled, Instant until)> on_stall;
    // Moves the model to now and passes on what it tells; returns when it
    // next has something to do.
    std::function<Instant()> on_pump;
  };

  // `random` outlives the shell.
  HttpShell(Options shell_options, RandomSource& random);

  // Errors: kAddressInUse.
  Status Start() { return this->server.Start(); }
  // Precondition: Start succeeded.
  http::Address address() const;

  void Pump();
  // Pumps when the event loop is reached next.
  void PumpSoon() { this->timer.start(0); }

  // Brings something from the network to the model, late and held back as a
  // request is.
  void Arrive(std::function<void()> task);
  // Sends something to the network, late.
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
