#include <QCoreApplication>
#include <QTimer>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "framework/program/program.h"
#include "framework/program/signal_watcher.h"
#include "framework/settings/reader.h"
#include "load/load_plan_reader.h"
#include "load/load_run.h"
#include "load/report_text.h"

namespace acacialug {
namespace {

// An exit code in addition to the shared ones.
constexpr int kViolationsFound = 4;

bool WriteReport(const std::string& file, const std::string& text) {
  if (file.empty()) {
    std::cout << text << std::flush;
    return true;
  }
  std::ofstream stream(file, std::ios::trunc);
  stream << text << std::flush;
  if (!stream) {
    std::cerr << "cannot write the report to " << file << "\n";
  }
  return static_cast<bool>(stream);
}

int Run(const load::LoadPlan& plan) {
  int exit_code = 0;
  load::LoadRun run(plan, [&plan, &exit_code](const load::LoadReport& report) {
    if (!WriteReport(plan.report_file, load::ToJson(report))) {
      exit_code = static_cast<int>(program::ExitCode::kFailed);
    } else if (!report.violations.empty()) {
      exit_code = kViolationsFound;
    }
    QCoreApplication::quit();
  });
  program::SignalWatcher watcher({.on_terminate = [&run](int count) {
    if (count == 1) {
      run.Stop();
    } else {
      QCoreApplication::quit();
    }
  }});
  QTimer::singleShot(0, [&run] { run.Start(); });
  QCoreApplication::exec();
  return exit_code;
}

int Main(int argc, char** argv) {
  load::LoadPlan plan;
  return program::RunProgram(
      argc, argv,
      {.name = "acacialug-load",
       .summary = "open-loop load that checks every answer",
       .synopsis = "--config FILE [--check]",
       .description =
           "Sends generations and plain calls at seeded arrivals that never\n"
           "wait for an answer, holds every answer against the only one that\n"
           "the stand-ins can give, and writes the figures as JSON.",
       .more_exit_codes = {{kViolationsFound, "a promise was broken"}},
       .load_settings =
           [&plan](const std::string& path) {
             auto reader = settings::Reader::FromFile(path);
             plan = load::ReadLoadPlan(reader);
             return reader.Finish();
           },
       .run = [&plan](const std::vector<std::string>&) { return Run(plan); }});
}

}  // namespace
}  // namespace acacialug

int main(int argc, char** argv) {
  return acacialug::Main(argc, argv);
}
