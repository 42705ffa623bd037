#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "control/commands.h"
#include "framework/program/program.h"
#include "framework/settings/units.h"

DEFINE_string(log, "", "the platform's log, IP:PORT");
DEFINE_string(nodes,
              "",
              "operations ports of entries and agents, IP:PORT,IP:PORT,...");
DEFINE_string(publisher, "acacialugctl", "who publishes, for the history");
DEFINE_bool(delta,
            false,
            "publish what differs from the current manifest; only once every "
            "entry and agent knows such records");
DEFINE_bool(json, false, "print JSON for pipelines");
DEFINE_string(html, "", "report burn: write one self-contained page there");
DEFINE_string(timeout, "5s", "longest wait for answers, and of manifest wait");

namespace acacialug {
namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty()) {
      items.push_back(item);
    }
  }
  return items;
}

std::vector<control::CommandFlag> Flags() {
  std::vector<control::CommandFlag> flags;
  for (const program::FlagName& flag : program::ShownFlags()) {
    flags.push_back({.name = flag.name, .takes_value = flag.takes_value});
  }
  return flags;
}

int Run(const std::vector<std::string>& arguments) {
  const auto timeout = settings::ParseDuration(FLAGS_timeout);
  if (!timeout) {
    std::cerr << "--timeout: expected a duration, as 5s\n";
    return static_cast<int>(program::ExitCode::kUsage);
  }
  return control::RunCommand(
      arguments,
      {.log = FLAGS_log,
       .nodes = SplitList(FLAGS_nodes),
       .publisher = FLAGS_publisher,
       .as_delta = FLAGS_delta,
       .json = FLAGS_json,
       .html_file = FLAGS_html,
       .timeout = *timeout,
       .flags = Flags(),
       .print =
           [](const std::string& text) { std::cout << text << std::flush; },
       .print_error = [](const std::string& text) { std::cerr << text; }});
}

}  // namespace
}  // namespace acacialug

int main(int argc, char** argv) {
  using acacialug::program::ExitCodeRow;
  return acacialug::program::RunProgram(
      argc, argv,
      {.name = "acacialugctl",
       .summary = "publish manifests, and see what the system does",
       .synopsis = "COMMAND [flags]",
       .description = acacialug::control::CommandsHelp(),
       .more_exit_codes = {{4, "the manifest breaks its schema"},
                           {5, "conflict: another manifest is current"},
                           {6, "the log is out; nothing was published"},
                           {7, "unresolved: it may have been published"},
                           {8, "not in force everywhere in time"},
                           {9, "all answered; none knows the request or name"},
                           {10, "the settings of a process do not allow it"},
                           {11, "report burn: not all asked answered"}},
       .run = acacialug::Run});
}
