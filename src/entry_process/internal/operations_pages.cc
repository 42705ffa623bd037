#include "entry_process/internal/operations_pages.h"

#include <string>
#include <utility>

#include "configuration_client/peer_manifests.h"
#include "entry_process/internal/caller_request.h"
#include "entry_process/metric_definitions.h"
#include "framework/metrics/exposition.h"

namespace acacialug::entry_process {
namespace {

constexpr int kServiceUnavailable = 503;

http::Response Page(std::string content_type, std::string body) {
  return {.headers = {{"Content-Type", std::move(content_type)}},
          .body = std::move(body)};
}

}  // namespace

OperationsPages::OperationsPages(Options page_options)
    : options(page_options),
      alive_requests(page_options.registry.Get(kAliveRequests)) {}

http::Response OperationsPages::Answer(const http::Request& request,
                                       Instant now) {
  const std::string_view path = request.Path();
  if (request.method != "GET" && request.method != "HEAD") {
    return RenderRefusal(Error(ResultCode::kMethodNotAllowed), "/healthz", {});
  }
  if (path == "/metrics") {
    return Page(std::string(metrics::kPrometheusContentType),
                metrics::PrometheusText(this->ReadMetrics()));
  }
  if (path == "/metrics.json") {
    return Page("application/json", metrics::ToJson(this->ReadMetrics()));
  }
  if (path == "/status") {
    return Page("application/json", this->options.state.RenderStatus(now));
  }
  if (path == configuration_client::kPeerManifestPath) {
    return this->manifest_page.empty()
               ? RenderRefusal(Error(ResultCode::kNotReady), path, {})
               : Page("application/json", this->manifest_page);
  }
  if (path == "/healthz") {
    return RenderHealth();
  }
  if (path == "/readyz") {
    return RenderReadiness(this->options.state.CheckReady(now));
  }
  return RenderRefusal(Error(ResultCode::kUnknownRoute, std::string(path)),
                       path, {});
}

metrics::Snapshot OperationsPages::ReadMetrics() {
  this->alive_requests.Set(
      static_cast<double>(this->options.state.AliveRequests()));
  return this->options.registry.Read();
}

http::Response RenderHealth() {
  return Page("text/plain", "ok\n");
}

http::Response RenderReadiness(const Readiness& readiness) {
  if (readiness.ready) {
    return Page("text/plain", "ready\n");
  }
  std::string body = "not ready: " + readiness.reason;
  for (const ServiceName& service : readiness.unserved) {
    body += " " + service.text;
  }
  http::Response response = Page("text/plain", body + "\n");
  response.status = kServiceUnavailable;
  return response;
}

}  // namespace acacialug::entry_process
