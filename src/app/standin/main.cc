#include <QCoreApplication>
#include <memory>
#include <string>
#include <vector>

#include "framework/log/log.h"
#include "framework/program/program.h"
#include "framework/program/signal_watcher.h"
#include "standin/settings.h"

namespace acacialug::standin {
namespace {

// All stand-ins of the process.
struct Servers {
  std::vector<std::unique_ptr<EngineServer>> engines;
  std::vector<std::unique_ptr<ServiceServer>> services;
  std::unique_ptr<LogServer> log;
  std::unique_ptr<HostListServer> hosts;
  std::unique_ptr<WeightStoreServer> weights;
};

// Scripts wait for the log entry "listening".
template <typename Server>
bool StartOne(Server& server, const std::string& kind, const std::string& id) {
  const Status started = server.Start();
  if (!started.ok()) {
    log::Error(
        "listen_failed",
        {.code = started.error().result_code(),
         .fields = {
             {"kind", kind}, {"id", id}, {"detail", started.error().detail}}});
    return false;
  }
  log::Info("listening",
            {.fields = {{"kind", kind},
                        {"id", id},
                        {"address", http::ToString(server.address())}}});
  return true;
}

bool StartPlatform(const StandinSettings& settings, Servers& servers) {
  if (settings.log) {
    servers.log = std::make_unique<LogServer>(*settings.log);
    if (!StartOne(*servers.log, "log", "log")) {
      return false;
    }
  }
  if (settings.hosts) {
    servers.hosts = std::make_unique<HostListServer>(*settings.hosts);
    if (!StartOne(*servers.hosts, "hosts", "hosts")) {
      return false;
    }
  }
  if (settings.weights) {
    servers.weights = std::make_unique<WeightStoreServer>(*settings.weights);
    return StartOne(*servers.weights, "weights", "weights");
  }
  return true;
}

bool StartEndpoints(const StandinSettings& settings, Servers& servers) {
  for (const EngineServerOptions& options : settings.engines) {
    servers.engines.push_back(std::make_unique<EngineServer>(options));
    if (!StartOne(*servers.engines.back(), "engine", options.engine.id)) {
      return false;
    }
  }
  for (const ServiceServerOptions& options : settings.services) {
    servers.services.push_back(std::make_unique<ServiceServer>(options));
    if (!StartOne(*servers.services.back(), "service", options.service.id)) {
      return false;
    }
  }
  return true;
}

int Run(const StandinSettings& settings) {
  const program::SignalWatcher watcher(
      {.on_terminate = [](int) { QCoreApplication::quit(); }});
  Servers servers;
  if (!StartPlatform(settings, servers) || !StartEndpoints(settings, servers)) {
    return static_cast<int>(program::ExitCode::kFailed);
  }
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace acacialug::standin

int main(int argc, char** argv) {
  using acacialug::standin::LoadedSettings;
  acacialug::standin::StandinSettings settings;
  return acacialug::program::RunProgram(
      argc, argv,
      {.name = "acacialug-standin",
       .summary = "stand-ins of engines, services and the platform, for tests",
       .synopsis = "--config FILE [--check]",
       .description =
           "Plays what the settings name: model engines ([[engine]]), plain\n"
           "services ([[service]]), the platform's log ([log]), host list\n"
           "([hosts]) and weight store ([weights]), each on its own address.\n"
           "POST /control on an address brings about faults there.",
       .load_settings =
           [&settings](const std::string& path) {
             LoadedSettings loaded =
                 acacialug::standin::LoadStandinSettings(path);
             settings = std::move(loaded.settings);
             return std::move(loaded.problems);
           },
       .run =
           [&settings](const std::vector<std::string>&) {
             return acacialug::standin::Run(settings);
           }});
}
