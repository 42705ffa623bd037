#ifndef CONTROL_INTERNAL_COMMAND_TABLE_H_
#define CONTROL_INTERNAL_COMMAND_TABLE_H_

#include <string>
#include <vector>

#include "control/internal/command_context.h"

namespace acacialug::control {

// One command. Commands with the same first word have the same `run`, which
// gets the words after the first one.
struct CommandRow {
  std::string words;      // "manifest check"
  std::string arguments;  // "FILE"; upper case: a placeholder
  std::string meaning;    // one line
  int (*run)(CommandContext& context, const std::vector<std::string>& rest);
};

// All commands, for RunCommand, --help and the shell completion.
// Thread safe: constant.
const std::vector<CommandRow>& CommandTable();

// The script that `completion bash` prints. Thread safe.
std::string BashCompletion(const std::vector<CommandFlag>& flags);

}  // namespace acacialug::control

#endif  // CONTROL_INTERNAL_COMMAND_TABLE_H_
