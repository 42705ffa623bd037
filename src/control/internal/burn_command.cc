#include <unistd.h>

#include <chrono>
#include <fstream>

#include "control/burn_report.h"
#include "control/internal/command_context.h"
#include "control/level_collector.h"

namespace acacialug::control {
namespace {

std::function<void(std::size_t)> Progress(const CommandContext& context,
                                          std::size_t all) {
  if (isatty(STDERR_FILENO) == 0) {
    return {};
  }
  return [&context, all](std::size_t done) {
    context.options.print_error("\r" + std::to_string(done) + "/" +
                                std::to_string(all) +
                                (done == all ? "\n" : ""));
  };
}

int WriteHtml(const CommandContext& context, const BurnReport& report) {
  std::ofstream file(context.options.html_file);
  file << RenderHtml(report);
  file.close();
  if (!file) {
    return context.PrintError(CommandExit::kFailed,
                              "cannot write " + context.options.html_file);
  }
  context.options.print("wrote " + context.options.html_file + "\n");
  return static_cast<int>(CommandExit::kOk);
}

int Show(const CommandContext& context, const BurnReport& report) {
  if (!context.options.html_file.empty()) {
    return WriteHtml(context, report);
  }
  context.options.print(context.options.json ? RenderJson(report)
                                             : RenderText(report));
  return static_cast<int>(CommandExit::kOk);
}

service_levels::WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

int ReportBurn(const CommandContext& context) {
  const std::vector<http::Address> nodes = context.Nodes();
  const std::optional<http::Address> log =
      http::ParseAddress(context.options.log);
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  if (!log && !context.options.log.empty()) {
    return context.PrintError(
        CommandExit::kUsage,
        "--log: expected IP:PORT, found \"" + context.options.log + "\"");
  }
  const Collected collected =
      CollectLevels({.nodes = nodes,
                     .log = log,
                     .timeout = context.options.timeout,
                     .max_answer_bytes = context.options.max_answer_bytes,
                     .on_progress = Progress(context, nodes.size())});
  const BurnReport report =
      MakeBurnReport(collected.fold.Finish(WallNow()), collected.sources);
  if (report.sources.entries == 0) {
    return context.PrintError(CommandExit::kFailed,
                              "no entry answered, so no objective is known");
  }
  const int shown = Show(context, report);
  if (shown == static_cast<int>(CommandExit::kOk) && report.sources.partial()) {
    return context.PrintError(CommandExit::kPartial,
                              "partial: see the report for what is missing");
  }
  return shown;
}

}  // namespace

int RunReportCommand(CommandContext& context,
                     const std::vector<std::string>& rest) {
  if (rest == std::vector<std::string>{"burn"}) {
    return ReportBurn(context);
  }
  return context.PrintError(CommandExit::kUsage, "report: expected burn");
}

}  // namespace acacialug::control
