#ifndef FRAMEWORK_PROGRAM_PROGRAM_H_
#define FRAMEWORK_PROGRAM_PROGRAM_H_

#include <functional>
#include <string>
#include <vector>

#include "framework/settings/types/problem.h"

namespace acacialug::program {

// The exit codes that every program of the project shares.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kSettings = 3,
};

// A row of --help's table of exit codes.
struct ExitCodeRow {
  int code;
  std::string meaning;
};

struct ProgramOptions {
  std::string name;         // "acacialug-entry"
  std::string summary;      // one line, no full stop
  std::string synopsis;     // without the name: "--config FILE [--check]"
  std::string description;  // paragraphs, wrapped by hand at 72 columns
  // Beside the shared ones.
  std::vector<ExitCodeRow> more_exit_codes;

  // Reads the settings file and keeps what it read for `run`; no problems
  // means good. Without this hook the program has neither --config nor
  // --check and takes positional arguments instead.
  std::function<std::vector<settings::Problem>(const std::string& path)>
      load_settings;

  // The program itself, after flags and settings were found good; returns the
  // exit code. A QCoreApplication exists. `arguments` are the positional ones,
  // none for a program with settings.
  std::function<int(const std::vector<std::string>& arguments)> run;
};

// A flag as --help shows it.
struct FlagName {
  std::string name;  // without dashes
  bool takes_value = true;
};

// The flags that --help of a program without settings shows, for shell
// completion. Thread safe once the command line was read.
std::vector<FlagName> ShownFlags();

// The main of a program: reads the command line (flags are gflags', defined by
// DEFINE_... in the program's own sources, long names, `--name=value` or
// `--name value`), answers --help, --version and --check, and then runs it.
//
//   int main(int argc, char** argv) {
//     return program::RunProgram(argc, argv, {.name = ..., .run = ...});
//   }
//
// Returns the exit code: kUsage for a command line that cannot be read,
// kSettings for settings with problems (--check: kFailed, after printing
// them, one a line, to standard error). An unknown flag or one with a
// bad value ends the process with kUsage. Call once, from main, before any
// other thread starts.
int RunProgram(int argc, char** argv, const ProgramOptions& options);

}  // namespace acacialug::program

#endif  // FRAMEWORK_PROGRAM_PROGRAM_H_
