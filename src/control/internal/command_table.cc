#include "control/internal/command_table.h"

#include <algorithm>

namespace acacialug::control {
namespace {

constexpr std::size_t kMeaningColumn = 23;

}  // namespace

const std::vector<CommandRow>& CommandTable() {
  static const std::vector<CommandRow> kTable = {
      {"manifest check", "FILE", "tell every fault with line and key",
       RunManifestCommand},
      {"manifest diff", "A B", "what B has otherwise; \"current\" is the log's",
       RunManifestCommand},
      {"manifest publish", "FILE", "append, and tell the log's verdict",
       RunManifestCommand},
      {"manifest show", "", "what is in force", RunManifestCommand},
      {"manifest history", "", "the newest records and verdicts",
       RunManifestCommand},
      {"manifest wait", "OFFSET", "until it is in force on --nodes",
       RunManifestCommand},
      {"status", "", "one line a process of --nodes", RunStatusCommand},
      {"endpoints", "", "each endpoint, as its agent and entries see it",
       RunEndpointsCommand},
      {"requests", "", "those alive, and what they hold where",
       RunRequestsCommand},
      {"explain", "REQUEST", "one request's path, attempts and refusals",
       RunExplainCommand},
      {"drain", "NAME...", "make entries or agents of --nodes leave",
       RunDrainCommand},
      {"report burn", "", "compliance, error budget, burn rate",
       RunReportCommand},
      {"completion bash", "", "print a script for the shell to source",
       RunCompletionCommand},
  };
  return kTable;
}

std::string CommandsHelp() {
  std::string help;
  for (const CommandRow& row : CommandTable()) {
    std::string head = "  " + row.words;
    if (!row.arguments.empty()) {
      head += " " + row.arguments;
    }
    head.resize(std::max(head.size() + 1, kMeaningColumn + 2), ' ');
    help += (help.empty() ? "" : "\n") + head + row.meaning;
  }
  return help;
}

}  // namespace acacialug::control
