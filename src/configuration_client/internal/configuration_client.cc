#include "configuration_client/configuration_client.h"

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "configuration_client/peer_manifests.h"
#include "framework/http/http_client.h"
#include "framework/log/log.h"

namespace acacialug::configuration_client {
namespace {

using configuration::FollowerAction;

// Maximum records of one answer; each may hold a whole manifest.
constexpr std::size_t kRecordsPerRead = 16;
constexpr Duration kPeerResponseTimeout = 2s;

}  // namespace

class ConfigurationClient::Implementation {
 public:
  Implementation(ClientOptions client_options, RandomSource& random)
      : options(std::move(client_options)),
        follower(this->options.follower, random),
        // An idle connection would occupy one of the few that an entry has for
        // operators and peers, and block processes that have yet to query it.
        peer_client({.silence_timeout = kPeerResponseTimeout,
                     .max_idle_connections = 0}),
        peers(this->options.peers, this->peer_client) {
    this->timer.setSingleShot(true);
    QObject::connect(&this->timer, &QTimer::timeout, [this] {
      this->follower.OnTimer(MonotonicNow());
      this->Pump();
    });
  }

  void Start() {
    this->follower.Start(MonotonicNow());
    this->Pump();
  }

  void OnPeerOffset(LogOffset offset) {
    this->follower.OnPeerOffset(offset, MonotonicNow());
    this->Pump();
  }

  void SetAlone(bool alone) {
    this->follower.SetAlone(alone, MonotonicNow());
    this->Pump();
  }

  Status OnPeerManifest(LogOffset offset, const std::string& text) {
    Status accepted_status = this->follower.OnPeerManifest(offset, text);
    this->Pump();
    return accepted_status;
  }

  const configuration::ConfigurationFollower& state() const {
    return this->follower;
  }

 private:
  void Pump() {
    for (const FollowerAction& action : this->follower.TakeActions()) {
      std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
    }
    const Instant due = this->follower.next_timer();
    if (due == kNever) {
      this->timer.stop();
      return;
    }
    this->timer.start(std::max(
        std::chrono::ceil<std::chrono::milliseconds>(due - MonotonicNow()),
        std::chrono::milliseconds(1)));
  }

  void Do(const configuration::ReadStream& read) {
    this->options.log->ReadFrom(
        std::string(kConfigurationStream), read.from, kRecordsPerRead,
        read.wait, [this](const Result<cluster::ILog::Read>& answer) {
          this->OnRead(answer);
        });
  }

  void Do(const configuration::AppendCheckpoint& append) {
    // A lost or duplicate record is harmless: the next reader sees whether a
    // newer copy exists, and a checkpoint does not change the active manifest.
    this->options.log->Append(std::string(kConfigurationStream), append.payload,
                              [](const Result<LogOffset>&) {});
  }

  // Calls the hook from the event loop: it may call this client again.
  void Do(const configuration::ActivateManifest& activate) {
    log::Info("manifest_in_force",
              {.fields = {{"offset", activate.accepted.manifest->offset},
                          {"version", activate.accepted.manifest->version}}});
    QTimer::singleShot(0, &this->context, [this, accepted = activate.accepted] {
      this->options.on_active(accepted);
    });
  }

  void Do(const configuration::FetchFromPeer&) {
    this->peers.FetchNewest([this](const PeerManifest& newest) {
      const Status accepted_status =
          this->OnPeerManifest(newest.offset, newest.text);
      log::WriteLimited(
          this->limiter, MonotonicNow(), log::Level::kInfo,
          "peer_manifest_read",
          {.code = accepted_status.ok() ? ResultCode::kOk
                                        : accepted_status.error().result_code(),
           .fields = {{"offset", newest.offset}}});
    });
  }

  void OnRead(const Result<cluster::ILog::Read>& answer) {
    const Instant now = MonotonicNow();
    if (!answer.ok()) {
      log::WriteLimited(this->limiter, now, log::Level::kWarning,
                        "configuration_read_failed",
                        {.code = answer.error().result_code(),
                         .fields = {{"detail", answer.error().detail}}});
    }
    this->follower.OnRead(answer, now);
    this->Pump();
  }

  ClientOptions options;
  configuration::ConfigurationFollower follower;
  http::Client peer_client;
  PeerManifests peers;
  log::RepeatLimiter limiter{{.window = 60s, .lines_per_window = 2}};
  QTimer timer;
  QObject context;  // cancels posted calls on destruction
};

ConfigurationClient::ConfigurationClient(ClientOptions client_options,
                                         RandomSource& random)
    : implementation(std::make_unique<Implementation>(std::move(client_options),
                                                      random)) {}

ConfigurationClient::~ConfigurationClient() = default;

void ConfigurationClient::Start() {
  this->implementation->Start();
}

void ConfigurationClient::OnPeerOffset(LogOffset offset) {
  this->implementation->OnPeerOffset(offset);
}

void ConfigurationClient::SetAlone(bool alone) {
  this->implementation->SetAlone(alone);
}

Status ConfigurationClient::OnPeerManifest(LogOffset offset,
                                           const std::string& text) {
  return this->implementation->OnPeerManifest(offset, text);
}

bool ConfigurationClient::ready() const {
  return this->implementation->state().ready();
}

const configuration::AcceptedManifest* ConfigurationClient::active() const {
  return this->implementation->state().active();
}

}  // namespace acacialug::configuration_client
