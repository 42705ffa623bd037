#include <unistd.h>

#include <QEventLoop>
#include <QTimer>
#include <fstream>
#include <nlohmann/json.hpp>

#include "control/burn_report.h"
#include "control/internal/command_context.h"
#include "control/scraper.h"
#include "framework/metrics/exposition.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr int kFailed = static_cast<int>(CommandExit::kFailed);

// One line a process, from an entry's or an agent's /status.
std::string StatusLine(const std::string& address, const Json& status) {
  const bool is_entry = status.contains("entry");
  const Json manifest = status.value("manifest", Json::object());
  std::string line = address + "  " + (is_entry ? "entry" : "agent") + "  " +
                     status.value(is_entry ? "entry" : "endpoint", "?") + "  " +
                     (status.value("ready", false) ? "ready" : "not ready");
  if (status.value("draining", false)) {
    line += ", draining";
  }
  if (manifest.is_object()) {
    line += "  manifest " +
            std::to_string(manifest.value("offset", std::uint64_t{0}));
  }
  if (!is_entry && status.contains("load")) {
    const Json& load = status["load"];
    line +=
        "  " + status.value("role", "?") + " " +
        std::to_string(load.value("running", 0)) + "/" +
        std::to_string(load.value("limit", 0)) + " running, " +
        std::to_string(load.value("queued", 0)) + " queued, " +
        std::to_string(status.value("held_attempts", Json::array()).size()) +
        " attempts held";
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

int RunStatusCommand(CommandContext& context) {
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  int exit = kOk;
  Json rows = Json::array();
  for (const ScrapedPage& page :
       Scrape(nodes, "/status", context.options.timeout, {})) {
    const std::string address = http::ToString(page.address);
    const Json status = page.body.ok()
                            ? Json::parse(page.body.value(), nullptr, false)
                            : Json(Json::value_t::discarded);
    if (!status.is_object()) {
      context.options.complain(address + ": no answer\n");
      exit = kFailed;
      continue;
    }
    rows.push_back({{"address", address}, {"status", status}});
    if (!context.options.json) {
      context.options.print(StatusLine(address, status));
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
