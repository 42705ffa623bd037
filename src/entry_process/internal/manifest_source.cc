#include "entry_process/manifest_source.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

#include "manifest/manifest_parser.h"

namespace acacialug::entry_process {
namespace {

constexpr std::chrono::milliseconds kReadyCheckInterval{20};
// Entries bring changes to the agents within 4 s. After an outage of the log
// they must therefore not sleep longer than the remaining steps allow.
constexpr Duration kLongestRetry = 2s;

Result<manifest::Manifest> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error(ResultCode::kSettingsUnreadable, path);
  }
  return manifest::ParseManifest(text.str(), path);
}

}  // namespace

ManifestSource::ManifestSource(Options source_options,
                               RandomSource& random_source)
    : options(std::move(source_options)), random(random_source) {
  this->ready_check.setInterval(kReadyCheckInterval);
  QObject::connect(&this->ready_check, &QTimer::timeout,
                   [this] { this->PassManifestOn(); });
}

Status ManifestSource::Start() {
  if (!this->options.file.empty()) {
    return this->Reload();
  }
  this->FollowLog();
  return Success{};
}

Status ManifestSource::Reload() {
  if (this->options.file.empty()) {
    return Success{};
  }
  Result<manifest::Manifest> read = ReadFile(this->options.file);
  if (!read.ok()) {
    return read.error();
  }
  // A file has no offset in the log; each reading counts as newer than the
  // previous one.
  read.value().offset = LogOffset(++this->file_reads);
  this->options.on_manifest(
      std::make_shared<const manifest::Manifest>(std::move(read.value())), {});
  return Success{};
}

void ManifestSource::OnPeerOffset(LogOffset offset) {
  if (this->client) {
    this->client->OnPeerOffset(offset);
  }
}

void ManifestSource::FollowLog() {
  this->client.emplace(
      configuration_client::ClientOptions{
          .follower = {.author = this->options.author,
                       .max_retry_delay = kLongestRetry,
                       .retention = this->options.log_retention},
          .log = std::move(this->options.log),
          .on_active =
              [this](const configuration::AcceptedManifest&) {
                this->PassManifestOn();
              },
          .peers = this->options.peers},
      this->random);
  this->client->Start();
}

// A log is read record by record: before its end is reached, the manifest read
// so far may have been replaced long ago and must not be used to serve
// requests.
void ManifestSource::PassManifestOn() {
  if (!this->client->ready()) {
    this->ready_check.start();
    return;
  }
  this->ready_check.stop();
  this->options.on_manifest(this->client->active()->manifest,
                            this->client->active()->text);
}

}  // namespace acacialug::entry_process
