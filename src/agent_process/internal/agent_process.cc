#include "agent_process/agent_process.h"

#include <QTimer>
#include <chrono>
#include <optional>
#include <utility>

#include "agent_process/internal/agent_runtime.h"
#include "agent_process/internal/operations_pages.h"
#include "agent_process/manifest_options.h"
#include "framework/http/http_server.h"
#include "framework/log/log.h"

namespace acacialug::agent_process {
namespace {

constexpr std::chrono::milliseconds kListenRetry{500};
constexpr std::chrono::milliseconds kAnswerDelay{50};
constexpr std::chrono::milliseconds kNextLoopIteration{0};

}  // namespace

class AgentProcess::Implementation {
 public:
  explicit Implementation(AgentProcessOptions process_options)
      : options(std::move(process_options)),
        random(RandomSource::FromSystem()),
        operations(this->OperationsOptions()) {
    this->listen_retry.setSingleShot(true);
    QObject::connect(&this->listen_retry, &QTimer::timeout, &this->context,
                     [this] { this->RetryPending(); });
  }

  Status Start() { return this->operations.Start(); }

  Status OnManifest(const std::shared_ptr<const manifest::Manifest>& newest) {
    this->listen_retry.stop();
    if (this->runtime == nullptr) {
      Status made = this->MakeRuntime(*newest);
      if (!made.ok()) {
        this->RetryListening(made.error(), newest);
        return made;
      }
    }
    this->pending_manifest.reset();
    this->manifest_offset = newest->offset;
    this->manifest_version = newest->version;
    this->runtime->OnManifest(
        ManifestForEndpoint(*newest, this->options.settings.agent.endpoint));
    return Success{};
  }

  void Drain() {
    this->listen_retry.stop();
    if (this->runtime != nullptr) {
      this->runtime->Drain();
    } else if (this->options.on_drained) {
      QTimer::singleShot(0, &this->context, this->options.on_drained);
    }
  }

  Status ReloadTls() {
    return this->runtime == nullptr ? Status(Success{})
                                    : this->runtime->ReloadTls();
  }

  std::vector<agent::HeldAttempt> holdings() const {
    return this->runtime == nullptr ? std::vector<agent::HeldAttempt>()
                                    : this->runtime->Holdings();
  }

  std::uint16_t port() const {
    return this->runtime == nullptr ? 0 : this->runtime->port();
  }
  std::uint16_t operations_port() const { return this->operations.port(); }

  AgentStatus status() const {
    AgentStatus status{.endpoint = this->options.settings.agent.endpoint,
                       .manifest_offset = this->manifest_offset,
                       .manifest_version = this->manifest_version};
    status.configuration_known =
        this->runtime != nullptr && (!this->options.configuration_ready ||
                                     this->options.configuration_ready());
    if (this->runtime != nullptr) {
      this->runtime->FillStatus(status);
    }
    return status;
  }

 private:
  // A port that its previous owner has not yet released is free soon after, but
  // the next manifest may be days away: an agent that waits for that manifest
  // serves nothing, while its process and its operations port look alive.
  void RetryListening(const Error& error,
                      const std::shared_ptr<const manifest::Manifest>& newest) {
    if (error.result_code() == ResultCode::kAddressInUse) {
      this->pending_manifest = newest;
      this->listen_retry.start(kListenRetry);
    }
  }

  void RetryPending() {
    const std::shared_ptr<const manifest::Manifest> held =
        this->pending_manifest;
    const Status applied = this->OnManifest(held);
    if (!applied.ok()) {
      log::Warning("listen_failed",
                   {.endpoint = this->options.settings.agent.endpoint,
                    .code = applied.error().result_code(),
                    .fields = {{"detail", applied.error().detail}}});
    }
  }

  Status MakeRuntime(const manifest::Manifest& first) {
    const Result<AgentSettings> complete =
        WithManifest(this->options.settings, first);
    if (!complete.ok()) {
      return complete.error();
    }
    auto made = std::make_unique<AgentRuntime>(this->options, *complete,
                                               this->random, this->registry);
    Status started = made->Start();
    if (!started.ok()) {
      return started;
    }
    this->runtime = std::move(made);
    log::Info("listening", {.endpoint = this->options.settings.agent.endpoint,
                            .fields = {{"port", this->runtime->port()}}});
    return started;
  }

  http::ServerOptions OperationsOptions() {
    http::ServerOptions server;
    server.listen = this->options.settings.operations_listen;
    // The limits are small, so that this port doesn't take the memory that the
    // agent's work needs.
    server.limits.max_body_bytes = 4096;
    server.limits.max_connections = 64;
    server.limits.idle_yields = true;
    server.make_handler = [this](int) {
      return
          [this](const http::Request& request, const http::ResponderPtr& to) {
            to->SendWhole(AnswerOperations(request, this->PagesHooks()));
          };
    };
    return server;
  }

  OperationsHooks PagesHooks() {
    return {.status = [this] { return this->status(); },
            .histograms = [this] { return this->registry.Read(); },
            .holdings = [this] { return this->holdings(); },
            .drain_rules = {.allowed = this->options.settings.allow_drain,
                            .name = this->options.settings.agent.endpoint.text},
            .drain = [this] { this->DrainSoon(); }};
  }

  // Lets the answer to the drain request leave first: without a runtime, which
  // waits until its last frames are sent, the process ends at once.
  void DrainSoon() {
    const auto wait =
        this->runtime == nullptr ? kAnswerDelay : kNextLoopIteration;
    QTimer::singleShot(wait, &this->context, [this] { this->Drain(); });
  }

  AgentProcessOptions options;
  RandomSource random;
  metrics::Registry registry;
  std::unique_ptr<AgentRuntime> runtime;  // null before the first manifest
  LogOffset manifest_offset;
  std::string manifest_version;
  std::shared_ptr<const manifest::Manifest>
      pending_manifest;  // set while its port is in use
  http::Server operations;
  QObject context;
  QTimer listen_retry;
};

AgentProcess::AgentProcess(AgentProcessOptions process_options)
    : implementation(
          std::make_unique<Implementation>(std::move(process_options))) {}

AgentProcess::~AgentProcess() = default;

Status AgentProcess::Start() {
  return this->implementation->Start();
}

Status AgentProcess::OnManifest(
    const std::shared_ptr<const manifest::Manifest>& newest) {
  return this->implementation->OnManifest(newest);
}

void AgentProcess::Drain() {
  this->implementation->Drain();
}

Status AgentProcess::ReloadTls() {
  return this->implementation->ReloadTls();
}

std::uint16_t AgentProcess::port() const {
  return this->implementation->port();
}

std::uint16_t AgentProcess::operations_port() const {
  return this->implementation->operations_port();
}

AgentStatus AgentProcess::status() const {
  return this->implementation->status();
}

std::vector<agent::HeldAttempt> AgentProcess::holdings() const {
  return this->implementation->holdings();
}

}  // namespace acacialug::agent_process
