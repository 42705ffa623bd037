#include <utility>

#include "standin/internal/http_faults.h"
#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/qt_listener.h"
#include "standin/platform_server.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kHosts = "/hosts";

}  // namespace

class HostListServer::Implementation {
 public:
  explicit Implementation(HostListServerOptions server_options)
      : options(std::move(server_options)),
        random(this->options.seed),
        model(this->options.hosts),
        faults(this->random),
        listener([this](http::Request request, Reply reply) {
          this->Receive(std::move(request), std::move(reply));
        }) {}

  void Receive(http::Request request, Reply reply) {
    if (request.Path() == "/control") {
      reply(this->Control(request));
    } else if (request.method == "GET" && this->faults.LosesRequest()) {
      reply(std::nullopt);
    } else if (request.method == "GET") {
      this->faults.RunOrHold(
          [this, request = std::move(request), reply = std::move(reply)] {
            this->faults.Answer(reply, this->Read(request));
          });
    } else {
      // The test's own hand: never held, late or lost.
      reply(this->Change(request));
    }
  }

  http::Response Read(const http::Request& request) {
    if (request.Path() != kHosts) {
      return ErrorResponse(404, "not_found", "no route");
    }
    if (this->outage) {
      return ErrorResponse(503, "unavailable", "outage");
    }
    json hosts = json::array();
    for (const platform::HostRecord& record :
         this->model.Read(MonotonicNow())) {
      hosts.push_back(
          {{"host", record.host.text},
           {"state", NameOf(platform::kHostStateNames, record.state)}});
    }
    return JsonResponse(200, {{"hosts", std::move(hosts)}});
  }

  http::Response Change(const http::Request& request) {
    const std::string_view path = request.Path();
    if (!path.starts_with("/hosts/") || path.size() == kHosts.size() + 1) {
      return ErrorResponse(404, "not_found", "no route");
    }
    const HostId host{std::string(path.substr(kHosts.size() + 1))};
    if (request.method == "DELETE") {
      this->model.Remove(host, MonotonicNow());
      return JsonResponse(200, json::object());
    }
    const auto state = ValueOf(platform::kHostStateNames,
                               TextOr(Parse(request.body), "state", ""));
    if (request.method != "PUT" || !state) {
      return ErrorResponse(400, "invalid_request", "state: live or leaving");
    }
    this->model.Set(host, *state, MonotonicNow());
    return JsonResponse(200, json::object());
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

  HostListServerOptions options;
  RandomSource random;
  HostListModel model;
  bool outage = false;
  HttpFaults faults;
  QtListener listener;
};

HostListServer::HostListServer(HostListServerOptions options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

HostListServer::~HostListServer() = default;

Status HostListServer::Start() {
  return this->implementation->listener.Start(
      this->implementation->options.listen);
}

http::Address HostListServer::address() const {
  return this->implementation->listener.address();
}

}  // namespace acacialug::standin
