#include <QCoreApplication>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "entry_process/entry_process.h"
#include "entry_process/settings_reader.h"
#include "framework/global/random_source.h"
#include "framework/log/log.h"
#include "framework/metrics/registry.h"
#include "framework/program/program.h"
#include "framework/program/signal_watcher.h"
#include "manifest/manifest_parser.h"

namespace acacialug {
namespace {

using entry_process::EntryProcess;
using entry_process::EntrySettings;

constexpr const char* kProgram = "acacialug-entry";

int Fail(std::string_view event, const Error& error) {
  log::Error(event, {.code = error.result_code(),
                     .fields = {{"detail", error.detail}}});
  return static_cast<int>(program::ExitCode::kFailed);
}

// The manifest that a file holds. A file has no offset in the log; each read
// gets a greater one than the read before, so that the newest is in force.
Result<manifest::Manifest> ReadManifest(const std::string& path) {
  static std::uint64_t reads = 0;
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error(ResultCode::kSettingsUnreadable, path);
  }
  Result<manifest::Manifest> parsed = manifest::ParseManifest(text.str(), path);
  if (parsed.ok()) {
    parsed.value().offset = LogOffset(++reads);
  }
  return parsed;
}

Status LoadManifest(const EntrySettings& settings, EntryProcess& process) {
  Result<manifest::Manifest> newest = ReadManifest(settings.manifest_file);
  if (!newest.ok()) {
    return newest.error();
  }
  process.SetManifest(
      std::make_shared<const manifest::Manifest>(std::move(newest.value())));
  return Success{};
}

// SIGHUP: certificates and, where it comes from a file, the manifest. What
// cannot be loaded stays as it was.
void Reload(const EntrySettings& settings, EntryProcess& process) {
  const Status tls = process.ReloadTls();
  if (!tls.ok()) {
    Fail("certificate_reload_failed", tls.error());
  }
  if (settings.manifest_file.empty()) {
    return;
  }
  const Status manifest = LoadManifest(settings, process);
  if (!manifest.ok()) {
    Fail("manifest_reload_failed", manifest.error());
  }
}

int Serve(EntrySettings settings) {
  const Status log_ready =
      log::Configure({.program = kProgram, .level = settings.log_level});
  if (!log_ready.ok()) {
    return Fail("log_failed", log_ready.error());
  }
  settings.process.core.incarnation =
      RandomSource::FromSystem().NextIncarnation();
  metrics::Registry registry;
  EntryProcess process(settings.process, registry, [](bool whole) {
    QCoreApplication::exit(static_cast<int>(
        whole ? program::ExitCode::kOk : program::ExitCode::kFailed));
  });
  const program::SignalWatcher signals(
      {.on_terminate =
           [&process](int count) {
             if (count == 1) {
               process.Drain();
             } else {
               QCoreApplication::exit(
                   static_cast<int>(program::ExitCode::kFailed));
             }
           },
       .on_reload = [&] { Reload(settings, process); }});
  const Status started = process.Start();
  if (!started.ok()) {
    return Fail("start_failed", started.error());
  }
  const Status manifest = LoadManifest(settings, process);
  if (!manifest.ok()) {
    return Fail("manifest_failed", manifest.error());
  }
  log::Info("started", {.fields = {{"entry", settings.process.core.id},
                                   {"port", process.port()},
                                   {"shards", settings.process.shards}}});
  return QCoreApplication::exec();
}

int Main(int argc, char** argv) {
  EntrySettings settings;
  return program::RunProgram(
      argc, argv,
      {.name = kProgram,
       .summary = "takes callers' requests and routes them to endpoints",
       .synopsis = "--config=FILE [--check]",
       .description =
           "Serves the OpenAI-compatible API and plain services to callers:\n"
           "admits, places and retries their requests, and answers each once.\n"
           "It keeps nothing; any number of entries run side by side behind\n"
           "the platform's balancer, which watches /readyz.\n"
           "\n"
           "SIGTERM or SIGINT: /readyz fails at once, new requests are "
           "refused\n"
           "after entry.drain_delay, what runs goes on; exit 0 when all of it\n"
           "was answered, 1 when entry.drain_grace cut something off. A "
           "second\n"
           "one ends at once. SIGHUP: load certificates and the manifest file\n"
           "anew.",
       .load_settings =
           [&settings](const std::string& path) {
             return entry_process::ReadEntrySettings(
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
