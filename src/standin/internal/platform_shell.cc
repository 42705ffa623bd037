#include "standin/internal/platform_shell.h"

#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"

namespace acacialug::standin {

using nlohmann::json;

PlatformShell::PlatformShell(Options shell_options)
    : options(std::move(shell_options)),
      random(this->options.seed),
      faults(this->random),
      listener([this](http::Request request, Reply reply) {
        this->Receive(std::move(request), std::move(reply));
      }) {}

void PlatformShell::Receive(http::Request request, Reply reply) {
  if (request.Path() == "/control") {
    reply(this->Control(request));
  } else if (this->options.is_exempt(request)) {
    this->options.on_request(request, reply);
  } else if (this->faults.LosesRequest()) {
    reply(std::nullopt);
  } else {
    this->faults.RunOrHold(
        [this, request = std::move(request), reply = std::move(reply)] {
          this->options.on_request(request, reply);
        });
  }
}

http::Response PlatformShell::Control(const http::Request& request) {
  const json control = Parse(request.body);
  if (!control.is_object()) {
    return ErrorResponse(400, "invalid_request", "no object");
  }
  this->is_out = BoolOr(control, "refuse", this->is_out);
  this->faults.Set(control);
  this->options.on_control(control);
  return JsonResponse(200, json::object());
}

}  // namespace acacialug::standin
