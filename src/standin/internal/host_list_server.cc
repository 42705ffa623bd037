#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/platform_shell.h"
#include "standin/platform_server.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kHosts = "/hosts";

}  // namespace

class HostListServer::Implementation {
 public:
  explicit Implementation(const HostListServerOptions& options)
      : model(options.hosts),
        shell({.listen = options.listen,
               .seed = options.seed,
               .on_request =
                   [this](const http::Request& request, const Reply& reply) {
                     this->Route(request, reply);
                   },
               .is_exempt =
                   [](const http::Request& request) {
                     return request.method != "GET";
                   }}) {}

  void Route(const http::Request& request, const Reply& reply) {
    if (request.method == "GET") {
      this->shell.Answer(reply, this->Read(request));
    } else {
      reply(this->Change(request));
    }
  }

  http::Response Read(const http::Request& request) {
    if (request.Path() != kHosts) {
      return ErrorResponse(404, "not_found", "no route");
    }
    if (this->shell.outage()) {
      return ErrorResponse(503, "unavailable", "outage");
    }
    json hosts = json::array();
    for (const cluster::HostRecord& record : this->model.Read(MonotonicNow())) {
      hosts.push_back(
          {{"host", record.host.text},
           {"state", NameOf(cluster::kHostStateNames, record.state)}});
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
    const auto state = ValueOf(cluster::kHostStateNames,
                               TextOr(Parse(request.body), "state", ""));
    if (request.method != "PUT" || !state) {
      return ErrorResponse(400, "invalid_request", "state: live or leaving");
    }
    this->model.Set(host, *state, MonotonicNow());
    return JsonResponse(200, json::object());
  }

  HostListModel model;
  PlatformShell shell;
};

HostListServer::HostListServer(const HostListServerOptions& options)
    : implementation(std::make_unique<Implementation>(options)) {}

HostListServer::~HostListServer() = default;

Status HostListServer::Start() {
  return this->implementation->shell.Start();
}

http::Address HostListServer::address() const {
  return this->implementation->shell.address();
}

}  // namespace acacialug::standin
