#ifndef FRAMEWORK_PROGRAM_INTERNAL_HELP_PAGE_H_
#define FRAMEWORK_PROGRAM_INTERNAL_HELP_PAGE_H_

#include <string>
#include <vector>

#include "framework/program/program.h"

namespace acacialug::program::internal {

// One flag as --help shows it.
struct FlagRow {
  std::string name;
  std::string type;      // "bool", "string", "int32", ...
  std::string fallback;  // text of the default, empty for none
  std::string meaning;
};

// The page that --help prints, laid out as a manual page: name, synopsis,
// description, flags, exit codes. Thread safe.
std::string HelpPage(const ProgramOptions& options,
                     const std::vector<FlagRow>& flags);

// Breaks text at spaces so that no line with its indent is longer than 80
// columns, where words allow. Thread safe.
std::string Wrapped(const std::string& text, std::size_t indent);

}  // namespace acacialug::program::internal

#endif  // FRAMEWORK_PROGRAM_INTERNAL_HELP_PAGE_H_
