#include "entry_process/internal/operations_pages.h"

#include <string>
#include <utility>

#include "configuration_client/peer_manifests.h"
#include "entry_process/internal/caller_request.h"
#include "entry_process/internal/error_answer.h"
#include "entry_process/metric_definitions.h"
#include "framework/metrics/exposition.h"
#include "operations/requests_page.h"
#include "service_levels/digest_codec.h"

namespace acacialug::entry_process {
namespace {

constexpr int kAccepted = 202;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
// Limit of /requests; each request takes some hundred bytes.
constexpr std::size_t kMostRequestsShown = 1000;

http::Response Page(std::string content_type, std::string body) {
  return {.headers = {{"Content-Type", std::move(content_type)}},
          .body = std::move(body)};
}

}  // namespace

OperationsPages::OperationsPages(Options page_options)
    : options(std::move(page_options)),
      alive_requests(this->options.registry.Get(kAliveRequests)) {}

http::Response OperationsPages::Answer(const http::Request& request,
                                       Instant now) {
  const std::string_view path = request.Path();
  if (path == operations::kDrainPath) {
    return this->AnswerDrain(request);
  }
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
  if (path == service_levels::kLevelPagePath &&
      this->options.service_levels != nullptr) {
    return Page("application/json", this->options.service_levels->RenderPage(
                                        this->options.state.manifest().get()));
  }
  if (path == "/status") {
    return Page("application/json", this->options.state.RenderStatus(now));
  }
  if (path == configuration_client::kPeerManifestPath) {
    return this->manifest_page.empty()
               ? RenderRefusal(Error(ResultCode::kNotReady), path, {})
               : Page("application/json", this->manifest_page);
  }
  if (operations::IsRequestsPath(path)) {
    return this->AnswerRequests(path, now);
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

http::Response OperationsPages::AnswerRequests(std::string_view path,
                                               Instant now) {
  const Result<std::optional<RequestId>> request =
      operations::RequestOfPath(path);
  if (!request.ok()) {
    return RenderRefusal(request.error(), path, {});
  }
  const Result<operations::EntryRequests> page =
      request->has_value()
          ? this->options.state.FindTrace(**request, now)
          : this->options.state.AliveTraces(kMostRequestsShown, now);
  return page.ok()
             ? Page("application/json", operations::RenderRequestsPage(*page))
             : RenderRefusal(page.error(), path, {});
}

http::Response OperationsPages::AnswerDrain(const http::Request& request) {
  const Status checked =
      operations::CheckDrainRequest(request, this->options.drain_rules);
  if (!checked.ok()) {
    http::Response refusal = RenderError({.code = checked.error().result_code(),
                                          .detail = checked.error().detail});
    if (refusal.status == kMethodNotAllowed) {
      refusal.headers.push_back({"Allow", "POST"});
    }
    return refusal;
  }
  this->options.drain();
  http::Response response =
      Page("application/json",
           operations::RenderDrainAnswer(this->options.drain_rules.name));
  response.status = kAccepted;
  return response;
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
