#ifndef ENTRY_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
#define ENTRY_PROCESS_INTERNAL_OPERATIONS_PAGES_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "entry_process/internal/process_state.h"
#include "entry_process/internal/service_level_recorder.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "framework/metrics/registry.h"
#include "operations/drain_request.h"

namespace acacialug::entry_process {

// The pages of the operations port: /metrics (Prometheus text),
// /metrics.json, /service-levels, /status, /requests, /requests/ID, /manifest,
// /healthz and /readyz, by GET or HEAD, and /drain by POST. Lives on one
// thread.
class OperationsPages {
 public:
  struct Options {
    ProcessState& state;  // both outlive this object
    metrics::Registry& registry;
    operations::DrainRules drain_rules;
    // Drains the process after the answer that confirms it was sent.
    std::function<void()> drain;
    ServiceLevelRecorder* service_levels = nullptr;  // null: no such page
  };

  explicit OperationsPages(Options options);

  // Errors are answered as on the callers' port.
  http::Response Answer(const http::Request& request, Instant now);

  // Sets the page that /manifest shows to peers that cannot reach the log.
  void SetManifestPage(std::string page) {
    this->manifest_page = std::move(page);
  }

 private:
  http::Response AnswerRequests(std::string_view path, Instant now);
  http::Response AnswerDrain(const http::Request& request);
  metrics::Snapshot ReadMetrics();

  const Options options;
  const metrics::Gauge alive_requests;
  std::string manifest_page;  // empty before the first
};

// The answer of /healthz: the process runs. Thread safe.
http::Response RenderHealth();

// The answer of /readyz: 200, or 503 with the reason. Thread safe.
http::Response RenderReadiness(const Readiness& readiness);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_OPERATIONS_PAGES_H_
