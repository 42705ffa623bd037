#include "control/commands.h"

#include "control/internal/command_context.h"

namespace acacialug::control {

int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options) {
  CommandContext context(options);
  const std::string subject = arguments.empty() ? std::string() : arguments[0];
  const std::vector<std::string> rest(
      arguments.empty() ? arguments.end() : arguments.begin() + 1,
      arguments.end());
  if (subject == "manifest") {
    return RunManifestCommand(context, rest);
  }
  if (subject == "status" && rest.empty()) {
    return RunStatusCommand(context);
  }
  if (subject == "report") {
    return RunReportCommand(context, rest);
  }
  return context.Complain(CommandExit::kUsage,
                          "expected manifest, status or report; see --help");
}

}  // namespace acacialug::control
