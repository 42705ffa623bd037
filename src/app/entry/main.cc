#include <QCoreApplication>
#include <QObject>
#include <QTimer>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/http_host_list.h"
#include "entry_process/entry_process.h"
#include "entry_process/manifest_source.h"
#include "entry_process/platform_log.h"
#include "entry_process/settings_reader.h"
#include "framework/global/random_source.h"
#include "framework/http/http_client.h"
#include "framework/log/log.h"
#include "framework/metrics/registry.h"
#include "framework/program/program.h"
#include "framework/program/service.h"
#include "framework/program/signal_watcher.h"

namespace acacialug {
namespace {

using entry_process::EntryProcess;
using entry_process::EntrySettings;
using program::Fail;

constexpr const char* kProgram = "acacialug-entry";
constexpr std::chrono::seconds kHostListInterval{1};

// Connects the process to its source of manifests and to signals.
class Entry {
 public:
  explicit Entry(const EntrySettings& entry_settings)
      : settings(entry_settings),
        random(RandomSource::FromSystem()),
        manifests(this->ManifestSourceOptions(), this->random),
        process(this->ProcessOptions(), this->registry, [](bool all_answered) {
          QCoreApplication::exit(
              static_cast<int>(all_answered ? program::ExitCode::kOk
                                            : program::ExitCode::kFailed));
        }) {}

  int Run() {
    const program::SignalWatcher signals(
        {.on_terminate = [this](int count) { this->Terminate(count); },
         .on_reload = [this] { this->Reload(); }});
    const Status started = this->process.Start();
    if (!started.ok()) {
      return Fail("start_failed", started.error());
    }
    const Status manifest = this->manifests.Start();
    if (!manifest.ok()) {
      return Fail("manifest_failed", manifest.error());
    }
    this->FollowHosts();
    log::Info("started",
              {.fields = {{"entry", this->settings.process.core.id},
                          {"port", this->process.port()},
                          {"shards", this->settings.process.shards}}});
    return QCoreApplication::exec();
  }

 private:
  entry_process::ManifestSource::Options ManifestSourceOptions() {
    entry_process::ManifestSource::Options options{
        .file = this->settings.manifest_file,
        .author = this->settings.process.core.id.text,
        .log_retention = this->settings.log_retention,
        .peers = this->settings.peers,
        .on_manifest =
            [this](const std::shared_ptr<const manifest::Manifest>& newest,
                   const std::string& text) {
              this->process.SetManifest(newest, text);
            }};
    if (this->settings.platform_log) {
      options.log =
          entry_process::MakePlatformLog(*this->settings.platform_log);
    }
    return options;
  }

  entry_process::EntryProcessOptions ProcessOptions() {
    entry_process::EntryProcessOptions options = this->settings.process;
    options.core.incarnation = this->random.NextIncarnation();
    options.log_retention = this->settings.log_retention;
    options.on_manifest_reported = [this](LogOffset offset) {
      this->manifests.OnPeerOffset(offset);
    };
    if (this->settings.platform_log) {
      options.make_log = [address = *this->settings.platform_log] {
        return entry_process::MakePlatformLog(address);
      };
    }
    return options;
  }

  // An agent that leaves reports it by itself. The platform's list lags behind,
  // but it covers the agents that cannot report.
  void FollowHosts() {
    if (!this->settings.platform_hosts) {
      return;
    }
    this->host_list.emplace(*this->settings.platform_hosts, this->host_client);
    QObject::connect(&this->host_timer, &QTimer::timeout,
                     [this] { this->ReadHosts(); });
    this->host_timer.start(kHostListInterval);
  }

  void ReadHosts() {
    this->host_list->Read(
        [this](const Result<std::vector<cluster::HostRecord>>& hosts) {
          if (!hosts.ok()) {
            return;  // keeps the last known hosts
          }
          std::set<HostId> leaving;
          for (const cluster::HostRecord& record : *hosts) {
            if (record.state == cluster::HostState::kLeaving) {
              leaving.insert(record.host);
            }
          }
          this->process.SetLeavingHosts(leaving);
        });
  }

  void Terminate(int count) {
    if (count == 1) {
      this->process.Drain();
    } else {
      QCoreApplication::exit(static_cast<int>(program::ExitCode::kFailed));
    }
  }

  // Reloads the certificates and, if it comes from a file, the manifest. An
  // item that cannot be loaded stays as it was.
  void Reload() {
    const Status tls = this->process.ReloadTls();
    if (!tls.ok()) {
      Fail("certificate_reload_failed", tls.error());
    }
    const Status manifest = this->manifests.Reload();
    if (!manifest.ok()) {
      Fail("manifest_reload_failed", manifest.error());
    }
  }

  const EntrySettings& settings;
  RandomSource random;
  metrics::Registry registry;
  entry_process::ManifestSource manifests;
  EntryProcess process;
  http::Client host_client{{}};
  std::optional<cluster::HttpHostList> host_list;
  QTimer host_timer;
};

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
             return program::Serve(
                 {.program = kProgram, .level = settings.log_level},
                 [&settings] { return Entry(settings).Run(); });
           }});
}

}  // namespace
}  // namespace acacialug

int main(int argc, char** argv) {
  return acacialug::Main(argc, argv);
}
