#include "framework/program/internal/help_page.h"

#include <sstream>

namespace acacialug::program::internal {
namespace {

constexpr std::size_t kColumns = 80;
constexpr std::size_t kIndent = 7;
constexpr std::size_t kDeepIndent = 14;

std::string Indented(const std::string& text, std::size_t indent) {
  std::istringstream lines(text);
  std::string page;
  for (std::string line; std::getline(lines, line);) {
    page += (line.empty() ? "" : std::string(indent, ' ') + line) + "\n";
  }
  return page;
}

std::string FlagText(const FlagRow& flag) {
  std::string head = "--" + flag.name;
  if (flag.type != "bool") {
    head += "=" + flag.type;
  }
  std::string meaning = flag.meaning;
  if (flag.type != "bool" && !flag.fallback.empty()) {
    meaning += " (default: " + flag.fallback + ")";
  }
  return Indented(head, kIndent) + Wrapped(meaning, kDeepIndent);
}

std::string ExitCodeText(int code, const std::string& meaning) {
  const std::string number = std::to_string(code);
  return std::string(kIndent, ' ') + number +
         std::string(kDeepIndent - kIndent - number.size(), ' ') + meaning +
         "\n";
}

std::string ExitCodes(const ProgramOptions& options) {
  std::string text = ExitCodeText(static_cast<int>(ExitCode::kOk), "success");
  text += ExitCodeText(static_cast<int>(ExitCode::kFailed),
                       options.load_settings
                           ? "failure; with --check: the settings have problems"
                           : "failure");
  text += ExitCodeText(static_cast<int>(ExitCode::kUsage),
                       "the command line cannot be read");
  if (options.load_settings) {
    text += ExitCodeText(static_cast<int>(ExitCode::kSettings),
                         "the settings have problems");
  }
  for (const ExitCodeRow& row : options.more_exit_codes) {
    text += ExitCodeText(row.code, row.meaning);
  }
  return text;
}

}  // namespace

std::string Wrapped(const std::string& text, std::size_t indent) {
  std::istringstream words(text);
  std::string page;
  std::string line;
  for (std::string word; words >> word;) {
    if (!line.empty() && indent + line.size() + 1 + word.size() > kColumns) {
      page += std::string(indent, ' ') + line + "\n";
      line.clear();
    }
    line += (line.empty() ? "" : " ") + word;
  }
  return line.empty() ? page : page + std::string(indent, ' ') + line + "\n";
}

std::string HelpPage(const ProgramOptions& options,
                     const std::vector<FlagRow>& flags) {
  std::string page =
      "NAME\n" + Indented(options.name + " - " + options.summary, kIndent) +
      "\nSYNOPSIS\n" +
      Indented(options.name + " " + options.synopsis, kIndent) +
      "\nDESCRIPTION\n" + Indented(options.description, kIndent) + "\nFLAGS\n";
  for (const FlagRow& flag : flags) {
    page += FlagText(flag);
  }
  return page + "\nEXIT CODES\n" + ExitCodes(options);
}

}  // namespace acacialug::program::internal
