#ifndef STANDIN_INTERNAL_PLATFORM_SHELL_H_
#define STANDIN_INTERNAL_PLATFORM_SHELL_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>

#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "standin/internal/http_faults.h"
#include "standin/internal/qt_listener.h"
#include "standin/internal/reply.h"

namespace acacialug::standin {

// The common parts of the platform's services: a server, the faults, and
// POST /control. Lives on one thread with a Qt event loop; not thread safe.
class PlatformShell {
 public:
  struct Options {
    http::Address listen;
    std::uint64_t seed = 1;  // of the draws of losses
    // Handles a request that was neither lost nor held, and calls Answer.
    std::function<void(const http::Request&, const Reply&)> on_request;
    // Whether the test controls the stand-in by this request, which is then
    // never held, delayed or lost.
    std::function<bool(const http::Request&)> is_exempt =
        [](const http::Request&) { return false; };
    // POST /control, after the shell has applied its own keys.
    std::function<void(const nlohmann::json& control)> on_control =
        [](const nlohmann::json&) {};
  };

  explicit PlatformShell(Options shell_options);

  // Listens. Errors: kAddressInUse.
  Status Start() { return this->listener.Start(this->options.listen); }
  // Precondition: Start succeeded.
  const http::Address& address() const { return this->listener.address(); }

  // Whether the service refuses everything, as set by a test.
  bool outage() const { return this->is_out; }

  // Sends an answer after the effect, which faults may delay or lose.
  void Answer(const Reply& reply, http::Response response) {
    this->faults.Answer(reply, std::move(response));
  }

 private:
  void Receive(http::Request request, Reply reply);
  http::Response Control(const http::Request& request);

  Options options;
  RandomSource random;
  bool is_out = false;
  HttpFaults faults;
  QtListener listener;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_PLATFORM_SHELL_H_
