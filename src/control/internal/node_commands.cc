#include <unistd.h>

#include <QEventLoop>
#include <QTimer>
#include <fstream>
#include <nlohmann/json.hpp>

#include "control/burn_report.h"
#include "control/internal/command_context.h"
#include "control/internal/node_pages.h"
#include "control/scraper.h"
#include "framework/metrics/exposition.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr int kFailed = static_cast<int>(CommandExit::kFailed);

// One line a process.
std::string StatusLine(const NodeStatus& status) {
  std::string line = http::ToString(status.address) + "  " +
                     (status.is_entry ? "entry" : "agent") + "  " +
                     status.name + "  " +
                     (status.ready ? "ready" : "not ready");
  if (status.draining) {
    line += ", draining";
  }
  if (status.manifest_offset > 0) {
    line += "  manifest " + std::to_string(status.manifest_offset);
  }
  if (!status.is_entry) {
    const EndpointSeen& load = status.load;
    line += "  " + status.role + " " + std::to_string(load.running) + "/" +
            std::to_string(load.limit) + " running, " +
            std::to_string(load.queued) + " queued, " +
            std::to_string(status.held_attempts) + " attempts held";
  }
  return line + "\n";
}

std::function<void(std::size_t)> Progress(const CommandContext& context,
                                          std::size_t all) {
  if (isatty(STDERR_FILENO) == 0) {
    return {};
  }
  return [&context, all](std::size_t done) {
    context.options.complain("\r" + std::to_string(done) + "/" +
                             std::to_string(all) + (done == all ? "\n" : ""));
  };
}

// The merged metrics of all nodes that answered; the others are complained of.
metrics::Snapshot ScrapeMetrics(const CommandContext& context,
                                const std::vector<http::Address>& nodes,
                                std::size_t& answered) {
  metrics::Snapshot merged;
  answered = 0;
  for (const ScrapedPage& page :
       Scrape(nodes, "/metrics.json", context.options.timeout,
              Progress(context, nodes.size()))) {
    const Result<metrics::Snapshot> snapshot =
        page.body.ok() ? metrics::FromJson(page.body.value())
                       : Result<metrics::Snapshot>(page.body.error());
    if (!snapshot.ok() || !merged.Merge(*snapshot).ok()) {
      context.options.complain(http::ToString(page.address) +
                               ": no metrics, left out\n");
      continue;
    }
    ++answered;
  }
  return merged;
}

void Sleep(Duration time) {
  QEventLoop loop;
  QTimer::singleShot(
      std::chrono::duration_cast<std::chrono::milliseconds>(time), &loop,
      &QEventLoop::quit);
  loop.exec();
}

int WriteHtml(const CommandContext& context, const BurnReport& report) {
  std::ofstream file(context.options.html_file);
  file << RenderHtml(report);
  file.close();
  if (!file) {
    return context.Complain(CommandExit::kFailed,
                            "cannot write " + context.options.html_file);
  }
  context.options.print("wrote " + context.options.html_file + "\n");
  return kOk;
}

int ReportBurn(CommandContext& context) {
  const std::vector<http::Address> nodes = context.Nodes();
  Publisher* const log = nodes.empty() ? nullptr : context.OpenLog();
  if (log == nullptr) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const Result<configuration::ConfigurationHistory> history =
      log->ReadHistory();
  if (!history.ok()) {
    return context.Complain(history.error());
  }
  if (history->current() == nullptr) {
    return context.Complain(CommandExit::kFailed, "no manifest is published");
  }
  std::size_t answered = 0;
  const metrics::Snapshot earlier = ScrapeMetrics(context, nodes, answered);
  Sleep(context.options.window);
  const metrics::Snapshot later = ScrapeMetrics(context, nodes, answered);
  if (answered == 0) {
    return context.Complain(CommandExit::kFailed, "no process answered");
  }
  const BurnReport report = MakeBurnReport(
      *history->current()->manifest, earlier, later, context.options.window);
  if (!context.options.html_file.empty()) {
    return WriteHtml(context, report);
  }
  context.options.print(context.options.json ? RenderJson(report)
                                             : RenderText(report));
  return kOk;
}

}  // namespace

int RunStatusCommand(CommandContext& context,
                     const std::vector<std::string>& rest) {
  if (!rest.empty()) {
    return context.Complain(CommandExit::kUsage,
                            "status: expected no argument");
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  int exit = kOk;
  Json rows = Json::array();
  for (const NodeAnswer& answer : context.AskAll(nodes, "/status")) {
    const Result<NodeStatus> status = ReadStatus(answer);
    if (!status.ok()) {
      context.Complain(answer.address, status.error());
      exit = kFailed;
      continue;
    }
    rows.push_back({{"address", http::ToString(answer.address)},
                    {"status", Json::parse(answer.response->body)}});
    if (!context.options.json) {
      context.options.print(StatusLine(*status));
    }
  }
  if (context.options.json) {
    context.options.print(rows.dump(2) + "\n");
  }
  return exit;
}

int RunReportCommand(CommandContext& context,
                     const std::vector<std::string>& rest) {
  if (rest == std::vector<std::string>{"burn"}) {
    return ReportBurn(context);
  }
  return context.Complain(CommandExit::kUsage, "report: expected burn");
}

}  // namespace acacialug::control
