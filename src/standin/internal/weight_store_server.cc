#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/platform_shell.h"
#include "standin/platform_server.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kPermits = "/permits";

}  // namespace

class WeightStoreServer::Implementation {
 public:
  explicit Implementation(const WeightStoreServerOptions& options)
      : model(options.store),
        shell({.listen = options.listen,
               .seed = options.seed,
               .on_request = [this](const http::Request& request,
                                    const Reply& reply) {
                 this->shell.Answer(reply, this->Route(request));
               }}) {}

  http::Response Route(const http::Request& request) {
    if (this->shell.outage()) {
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

  WeightStoreModel model;
  PlatformShell shell;
};

WeightStoreServer::WeightStoreServer(const WeightStoreServerOptions& options)
    : implementation(std::make_unique<Implementation>(options)) {}

WeightStoreServer::~WeightStoreServer() = default;

Status WeightStoreServer::Start() {
  return this->implementation->shell.Start();
}

http::Address WeightStoreServer::address() const {
  return this->implementation->shell.address();
}

}  // namespace acacialug::standin
