#include <QCoreApplication>
#include <iostream>
#include <memory>
#include <optional>

#include "agent_process/agent_process.h"
#include "agent_process/manifest_file.h"
#include "agent_process/manifest_options.h"
#include "agent_process/settings_reader.h"
#include "engine/engine_factory.h"
#include "framework/log/log.h"
#include "framework/program/program.h"
#include "framework/program/signal_watcher.h"

namespace acacialug {
namespace {

using agent_process::AgentProcess;
using agent_process::AgentSettings;

constexpr const char* kProgram = "acacialug-agent";

int Fail(std::string_view event, const Error& error) {
  log::Error(event, {.code = error.result_code(),
                     .fields = {{"detail", error.detail}}});
  return static_cast<int>(program::ExitCode::kFailed);
}

// SIGHUP: certificates and, where it comes from a file, the manifest.
void Reload(const AgentSettings& settings, AgentProcess& process) {
  const Status tls = process.ReloadTls();
  if (!tls.ok()) {
    Fail("certificate_reload_failed", tls.error());
  }
  if (settings.manifest_file.empty()) {
    return;
  }
  const auto newest = agent_process::ReadManifestFile(settings.manifest_file);
  if (!newest.ok()) {
    Fail("manifest_reload_failed", newest.error());
    return;
  }
  log::Info("manifest_reloaded", {.fields = {{"version", (*newest)->version}}});
  process.OnManifest(*newest);
}

int Serve(const AgentSettings& settings) {
  const Status log_ready =
      log::Configure({.program = kProgram, .level = settings.log_level});
  if (!log_ready.ok()) {
    return Fail("log_failed", log_ready.error());
  }
  const auto manifest = agent_process::ReadManifestFile(settings.manifest_file);
  if (!manifest.ok()) {
    return Fail("manifest_failed", manifest.error());
  }
  Result<AgentSettings> complete =
      agent_process::WithManifest(settings, **manifest);
  if (!complete.ok()) {
    return Fail("manifest_failed", complete.error());
  }
  AgentProcess process({.settings = std::move(complete.value()),
                        .manifest = *manifest,
                        .make_engine = engine::MakeEngine,
                        .on_drained = [] { QCoreApplication::quit(); }});
  const program::SignalWatcher signals(
      {.on_terminate =
           [&process](int count) {
             count == 1 ? process.Drain() : QCoreApplication::quit();
           },
       .on_reload = [&settings, &process] { Reload(settings, process); }});
  const Status started = process.Start();
  if (!started.ok()) {
    return Fail("start_failed", started.error());
  }
  log::Info("started",
            {.endpoint = settings.agent.endpoint,
             .fields = {{"port", process.port()},
                        {"operations_port", process.operations_port()}}});
  return QCoreApplication::exec();
}

int Main(int argc, char** argv) {
  AgentSettings settings;
  return program::RunProgram(
      argc, argv,
      {.name = kProgram,
       .summary = "admits and runs the work of one endpoint",
       .synopsis = "--config=FILE [--check]",
       .description =
           "Runs beside an engine or a plain service and is the only one that\n"
           "gives it work: reservations, prefills, streams, calls and orders.\n"
           "\n"
           "SIGTERM or SIGINT: refuse new work, finish what runs, exit 0; a\n"
           "second one ends at once. SIGHUP: load certificates and the\n"
           "manifest file anew.",
       .load_settings =
           [&settings](const std::string& path) {
             return agent_process::ReadAgentSettings(
                 settings::Reader::FromFile(path), settings);
           },
       .run =
           [&settings](const std::vector<std::string>&) {
             return Serve(settings);
           }});
}

}  // namespace
}  // namespace acacialug

int main(int argc, char** argv) {
  return acacialug::Main(argc, argv);
}
