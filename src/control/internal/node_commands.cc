#include <nlohmann/json.hpp>

#include "control/internal/command_context.h"
#include "control/internal/node_pages.h"
#include "control/scraper.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr int kFailed = static_cast<int>(CommandExit::kFailed);

// One line per process.
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
    const EndpointView& load = status.load;
    line += "  " + status.role + " " + std::to_string(load.running) + "/" +
            std::to_string(load.limit) + " running, " +
            std::to_string(load.queued) + " queued, " +
            std::to_string(status.held_attempts) + " attempts held";
  }
  return line + "\n";
}

}  // namespace

int RunStatusCommand(CommandContext& context,
                     const std::vector<std::string>& rest) {
  if (!rest.empty()) {
    return context.PrintError(CommandExit::kUsage,
                              "status: expected no argument");
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  int exit = kOk;
  Json rows = Json::array();
  for (const NodeAnswer& answer : context.QueryAll(nodes, "/status")) {
    const Result<NodeStatus> status = ReadStatus(answer);
    if (!status.ok()) {
      context.PrintError(answer.address, status.error());
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

}  // namespace acacialug::control
