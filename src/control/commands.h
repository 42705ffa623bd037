#ifndef CONTROL_COMMANDS_H_
#define CONTROL_COMMANDS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::control {

// Exit codes beside the shared ones, for pipelines.
enum class CommandExit : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalid = 4,      // the manifest breaks its schema
  kConflict = 5,     // another manifest is current
  kUnavailable = 6,  // it is certain that nothing was published
  kUnresolved = 7,   // it is not known whether it was published
  kTimeout = 8,      // `wait`: not active everywhere in time
  kNotFound = 9,     // all processes answered; none has the request or name
  kRefused = 10,     // the settings of a process do not allow it
  kPartial = 11,     // `report burn`: some sources did not answer
};

// A flag of the program, for shell completion.
struct CommandFlag {
  std::string name;  // without dashes
  bool takes_value = true;
};

struct CommandOptions {
  std::string log;                 // --log, IP:PORT
  std::vector<std::string> nodes;  // --nodes, operations ports, IP:PORT each
  std::string publisher = "acacialugctl";
  bool as_delta = false;  // of `manifest publish`; see PublisherOptions
  bool json = false;
  std::string html_file;  // --html
  Duration timeout = 5s;  // of one answer, and of `manifest wait`
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;  // of one node
  std::vector<CommandFlag> flags;  // of the program, for `completion`
  // Write text; the program uses standard output and standard error.
  std::function<void(const std::string& text)> print;
  std::function<void(const std::string& text)> print_error;
};

// The commands as --help shows them, one per line. Thread safe.
std::string CommandsHelp();

// Runs one command line, for example `manifest publish FILE`. Needs a
// QCoreApplication. Returns the exit code; every error is printed with its
// number.
int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options);

}  // namespace acacialug::control

#endif  // CONTROL_COMMANDS_H_
