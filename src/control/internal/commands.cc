#include "control/commands.h"

#include <algorithm>

#include "control/internal/command_table.h"

namespace acacialug::control {
namespace {

std::string FirstWord(const CommandRow& row) {
  return row.words.substr(0, row.words.find(' '));
}

}  // namespace

int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options) {
  CommandContext context(options);
  const std::vector<CommandRow>& table = CommandTable();
  const auto row =
      arguments.empty()
          ? table.end()
          : std::find_if(table.begin(), table.end(), [&](const auto& item) {
              return FirstWord(item) == arguments[0];
            });
  if (row == table.end()) {
    return context.PrintError(CommandExit::kUsage,
                              "expected a command; see --help");
  }
  return row->run(context, {arguments.begin() + 1, arguments.end()});
}

}  // namespace acacialug::control
