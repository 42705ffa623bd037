#include <malloc.h>

#include <QCoreApplication>
#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "agent_process/agent_process.h"
#include "agent_process/manifest_file.h"
#include "agent_process/permitted_engine.h"
#include "agent_process/settings_reader.h"
#include "cluster/http_log.h"
#include "cluster/http_weight_store.h"
#include "configuration_client/configuration_client.h"
#include "engine/engine_factory.h"
#include "framework/http/http_client.h"
#include "framework/log/log.h"
#include "framework/program/program.h"
#include "framework/program/service.h"
#include "framework/program/signal_watcher.h"

namespace acacialug {
namespace {

using agent_process::AgentProcess;
using agent_process::AgentSettings;
using configuration_client::ConfigurationClient;
using program::Fail;

constexpr const char* kProgram = "acacialug-agent";
constexpr std::chrono::seconds kFirstManifestWait{3};

// Connects the process to its source of manifests and to signals.
class Agent {
 public:
  explicit Agent(const AgentSettings& agent_settings)
      : settings(agent_settings),
        random(RandomSource::FromSystem()),
        process(this->ProcessOptions()) {}

  int Run() {
    const Status started = this->process.Start();
    if (!started.ok()) {
      return Fail("start_failed", started.error());
    }
    log::Info(
        "started",
        {.endpoint = this->settings.agent.endpoint,
         .fields = {{"operations_port", this->process.operations_port()}}});
    if (!this->settings.manifest_file.empty()) {
      const Status applied = this->LoadManifestFile();
      if (!applied.ok()) {
        return Fail("manifest_failed", applied.error());
      }
    } else {
      this->FollowLog(/*follow_stream=*/false);
      this->WatchForFirstManifest();
    }
    const program::SignalWatcher watcher(
        {.on_terminate = [this](int count) { this->Terminate(count); },
         .on_reload = [this] { this->Reload(); }});
    return QCoreApplication::exec();
  }

 private:
  agent_process::AgentProcessOptions ProcessOptions() {
    return {.settings = this->settings,
            .make_engine =
                [this](const engine::EngineOptions& engine_options) {
                  return this->MakeEngine(engine_options);
                },
            .make_maintenance_log = this->MaintenanceLogFactory(),
            .on_newer_manifest =
                [this](LogOffset offset) {
                  if (this->configuration) {
                    this->configuration->OnPeerOffset(offset);
                  }
                },
            .on_alone =
                [this](bool alone) {
                  if (this->configuration) {
                    this->configuration->SetAlone(alone);
                  }
                },
            .configuration_ready =
                [this] {
                  return !this->configuration || this->configuration->ready();
                },
            .on_drained = [] { QCoreApplication::quit(); }};
  }

  std::unique_ptr<engine::IEngine> MakeEngine(
      const engine::EngineOptions& engine_options) {
    std::unique_ptr<engine::IEngine> made = engine::MakeEngine(engine_options);
    if (!this->settings.platform_weights) {
      return made;
    }
    this->store_client.emplace(http::ClientOptions{});
    return std::make_unique<agent_process::PermittedEngine>(
        agent_process::PermittedEngine::Options{
            .endpoint = this->settings.agent.endpoint,
            .engine = std::move(made),
            .store = std::make_unique<cluster::HttpWeightStore>(
                *this->settings.platform_weights, *this->store_client)});
  }

  // The agents of a pool share state only through the log: without a log, there
  // is no factory.
  std::function<std::unique_ptr<cluster::ILog>()> MaintenanceLogFactory() {
    if (!this->settings.platform_log) {
      return {};
    }
    return [this] {
      this->maintenance_log_client.emplace(http::ClientOptions{});
      return std::make_unique<cluster::HttpLog>(*this->settings.platform_log,
                                                *this->maintenance_log_client);
    };
  }

  // Each load gets the next offset, so that it counts as newer than the one
  // before.
  Status LoadManifestFile() {
    const auto read =
        agent_process::ReadManifestFile(this->settings.manifest_file);
    if (!read.ok()) {
      return read.error();
    }
    auto numbered = std::make_shared<manifest::Manifest>(**read);
    numbered->offset = LogOffset(++this->file_loads);
    this->TrimHeap();
    return this->process.OnManifest(numbered);
  }

  // Entries report newer manifests to an agent, so that thousands of agents
  // need not poll the log. No entry connects to an agent that no manifest names
  // yet; it would wait without end, so it follows the stream by itself.
  void WatchForFirstManifest() {
    QObject::connect(&this->first_manifest_timer, &QTimer::timeout, [this] {
      if (this->process.port() == 0) {
        this->FollowLog(/*follow_stream=*/true);
      }
    });
    this->first_manifest_timer.setSingleShot(true);
    this->first_manifest_timer.start(kFirstManifestWait);
  }

  void FollowLog(bool follow_stream) {
    this->configuration.reset();
    this->log_client.emplace(http::ClientOptions{});
    this->configuration.emplace(
        configuration_client::ClientOptions{
            .follower = {.author = this->settings.agent.endpoint.text,
                         .follow_stream = follow_stream},
            .log = std::make_unique<cluster::HttpLog>(
                *this->settings.platform_log, *this->log_client),
            .on_active =
                [this](const configuration::AcceptedManifest& accepted) {
                  this->TrimHeap();
                  const Status applied =
                      this->process.OnManifest(accepted.manifest);
                  if (!applied.ok()) {
                    Fail("manifest_not_taken", applied.error());
                  }
                },
            .peers = this->settings.peers},
        this->random);
    this->configuration->Start();
  }

  // Parsing a manifest of many endpoints takes many times the memory of the
  // parsed manifest. The allocator would keep that memory until the process
  // ends.
  void TrimHeap() {
    QTimer::singleShot(0, &this->context, [] { malloc_trim(0); });
  }

  void Terminate(int count) {
    if (count == 1) {
      this->process.Drain();
    } else {
      QCoreApplication::quit();
    }
  }

  void Reload() {
    const Status tls = this->process.ReloadTls();
    if (!tls.ok()) {
      Fail("certificate_reload_failed", tls.error());
    }
    if (this->settings.manifest_file.empty()) {
      return;
    }
    const Status applied = this->LoadManifestFile();
    if (!applied.ok()) {
      Fail("manifest_reload_failed", applied.error());
    }
  }

  const AgentSettings& settings;
  RandomSource random;
  std::uint64_t file_loads = 0;
  QObject context;  // cancels posted calls on destruction
  QTimer first_manifest_timer;
  std::optional<http::Client> store_client;
  std::optional<http::Client> log_client;
  std::optional<http::Client> maintenance_log_client;
  std::optional<ConfigurationClient> configuration;
  AgentProcess process;
};

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
             return program::Serve(
                 {.program = kProgram, .level = settings.log_level},
                 [&settings] { return Agent(settings).Run(); });
           }});
}

}  // namespace
}  // namespace acacialug

int main(int argc, char** argv) {
  return acacialug::Main(argc, argv);
}
