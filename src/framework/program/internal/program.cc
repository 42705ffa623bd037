#include "framework/program/program.h"

#include <gflags/gflags.h>
#include <malloc.h>

#include <QCoreApplication>
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string_view>

#include "framework/program/internal/help_page.h"

DEFINE_string(config, "", "the settings file (TOML)");
DEFINE_bool(check, false, "check the settings, print their problems, and exit");

namespace google {
// How gflags ends the process after a faulty flag. The library exports it
// without declaring it in its header. Its default leaves by 1, which would
// read as a failure of the program's work.
// NOLINTNEXTLINE(readability-identifier-naming): the library's name
extern GFLAGS_DLL_DECL void (*gflags_exitfunc)(int);
}  // namespace google

namespace acacialug::program {
namespace {

constexpr std::string_view kThisFile = "program/internal/program.cc";

int Number(ExitCode code) {
  return static_cast<int>(code);
}

bool IsSet(const char* flag) {
  std::string value;
  return gflags::GetCommandLineOption(flag, &value) && value == "true";
}

bool EndsWith(std::string_view text, std::string_view end) {
  return text.size() >= end.size() &&
         text.substr(text.size() - end.size()) == end;
}

// gflags brings flags of its own (help texts of several kinds, flag files);
// the page shows the program's flags only.
std::vector<internal::FlagRow> VisibleFlags(bool has_settings) {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<internal::FlagRow> rows;
  for (const gflags::CommandLineFlagInfo& flag : all) {
    const bool shared = EndsWith(flag.filename, kThisFile);
    const bool own = flag.filename.find("/gflags") == std::string::npos;
    if (own && (!shared || has_settings)) {
      rows.push_back({.name = flag.name,
                      .type = flag.type,
                      .fallback = flag.default_value,
                      .meaning = flag.description});
    }
  }
  rows.push_back(
      {.name = "help", .type = "bool", .meaning = "print this page"});
  rows.push_back(
      {.name = "version", .type = "bool", .meaning = "print name and version"});
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return left.name < right.name;
  });
  return rows;
}

int UsageError(const ProgramOptions& options, const std::string& what) {
  std::cerr << options.name << ": " << what << "; see " << options.name
            << " --help\n";
  return Number(ExitCode::kUsage);
}

// The exit code when the settings end the program here.
std::optional<int> LoadSettings(const ProgramOptions& options) {
  if (FLAGS_config.empty()) {
    return UsageError(options, "--config FILE is required");
  }
  const auto problems = options.load_settings(FLAGS_config);
  for (const settings::Problem& problem : problems) {
    std::cerr << settings::ToString(problem) << "\n";
  }
  if (FLAGS_check) {
    if (problems.empty()) {
      std::cout << FLAGS_config << ": ok\n";
    }
    return Number(problems.empty() ? ExitCode::kOk : ExitCode::kFailed);
  }
  return problems.empty() ? std::nullopt
                          : std::optional(Number(ExitCode::kSettings));
}

// Qt's own event loop in place of GLib's, in every thread: GLib's wakes itself
// for each change of a timer or a socket's notifier, which costs a message
// through an entry twice the calls of the operating system.
void UseQtEventLoop() {
  qputenv("QT_NO_GLIB", "1");
}

// Maps each large block by itself, so that it is given back when it is freed.
// glibc raises this size, up to 32 MiB, with each such block that is freed; the
// next ones leave holes among small blocks, which stay with the process.
void MapLargeBlocks() {
  constexpr int kLargeBlockBytes = 16 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace

std::vector<FlagName> ShownFlags() {
  std::vector<FlagName> names;
  for (const internal::FlagRow& flag : VisibleFlags(false)) {
    names.push_back({.name = flag.name, .takes_value = flag.type != "bool"});
  }
  return names;
}

int RunProgram(int argc, char** argv, const ProgramOptions& options) {
  google::gflags_exitfunc = [](int) {
    // exit() would run destructors of objects that never came to be used.
    std::cerr.flush();
    std::_Exit(Number(ExitCode::kUsage));
  };
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  if (IsSet("help") || IsSet("helpfull") || IsSet("helpshort")) {
    std::cout << internal::HelpPage(
        options, VisibleFlags(static_cast<bool>(options.load_settings)));
    return Number(ExitCode::kOk);
  }
  if (IsSet("version")) {
    std::cout << options.name << " " << ACACIALUG_VERSION << "\n";
    return Number(ExitCode::kOk);
  }
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (options.load_settings) {
    if (!arguments.empty()) {
      return UsageError(options, "unexpected argument " + arguments.front());
    }
    if (const std::optional<int> code = LoadSettings(options)) {
      return *code;
    }
  } else if (!FLAGS_config.empty() || FLAGS_check) {
    return UsageError(options, "this program reads no settings");
  }
  MapLargeBlocks();
  UseQtEventLoop();
  QCoreApplication application(argc, argv);
  QCoreApplication::setApplicationName(QString::fromStdString(options.name));
  return options.run(arguments);
}

}  // namespace acacialug::program
