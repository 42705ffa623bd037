#include <utility>

#include "standin/internal/http_faults.h"
#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/qt_listener.h"
#include "standin/platform_server.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kPermits = "/permits";

}  // namespace

class WeightStoreServer::Implementation {
 public:
  explicit Implementation(WeightStoreServerOptions server_options)
      : options(std::move(server_options)),
        random(this->options.seed),
        model(this->options.store),
        faults(this->random),
        listener([this](http::Request request, Reply reply) {
          this->Receive(std::move(request), std::move(reply));
        }) {}

  void Receive(http::Request request, Reply reply) {
    if (request.Path() == "/control") {
      reply(this->Control(request));
      return;
    }
    if (this->faults.LosesRequest()) {
      reply(std::nullopt);
      return;
    }
    this->faults.RunOrHold(
        [this, request = std::move(request), reply = std::move(reply)] {
          this->faults.Answer(reply, this->Route(request));
        });
  }

  http::Response Route(const http::Request& request) {
    if (this->outage) {
      return ErrorResponse(503, "unavailable", "outage");
    }
    const std::string_view path = request.Path();
    if (request.method == "POST" && path == kPermits) {
      return this->Acquire(TextOr(Parse(request.body), "endpoint", ""));
    }
    if (request.method == "DELETE" && path.starts_with("/permits/")) {
      this->model.Release(
          EndpointId(std::string(path.substr(kPermits.size() + 1))));
      return JsonResponse(200, json::object());
    }
    if (request.method == "GET" && path == kPermits) {
      return JsonResponse(200, {{"held", this->model.held(MonotonicNow())}});
    }
    return ErrorResponse(404, "not_found", "no route");
  }

  http::Response Acquire(const std::string& endpoint) {
    if (endpoint.empty()) {
      return ErrorResponse(400, "invalid_request", "endpoint: a name");
    }
    const Result<Duration> lease =
        this->model.Acquire(EndpointId(endpoint), MonotonicNow());
    return lease ? JsonResponse(200, {{"lease_ms", *lease / 1ms}})
                 : ErrorResponse(429, "overloaded", lease.error().detail);
  }

  http::Response Control(const http::Request& request) {
    const json control = Parse(request.body);
    if (!control.is_object()) {
      return ErrorResponse(400, "invalid_request", "no object");
    }
    this->outage = BoolOr(control, "refuse", this->outage);
    this->faults.Set(control);
    return JsonResponse(200, json::object());
  }

  WeightStoreServerOptions options;
  RandomSource random;
  WeightStoreModel model;
  bool outage = false;
  HttpFaults faults;
  QtListener listener;
};

WeightStoreServer::WeightStoreServer(WeightStoreServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

WeightStoreServer::~WeightStoreServer() = default;

Status WeightStoreServer::Start() {
  return this->implementation->listener.Start(
      this->implementation->options.listen);
}

http::Address WeightStoreServer::address() const {
  return this->implementation->listener.address();
}

}  // namespace acacialug::standin
