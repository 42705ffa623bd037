#include "entry_process/entry_process.h"

#include <QObject>
#include <QTimer>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

#include "configuration_client/peer_manifests.h"
#include "entry_process/internal/caller_request.h"
#include "entry_process/internal/digest_appender.h"
#include "entry_process/internal/entry_measures.h"
#include "entry_process/internal/error_answer.h"
#include "entry_process/internal/heartbeats.h"
#include "entry_process/internal/operations_pages.h"
#include "entry_process/internal/process_state.h"
#include "entry_process/internal/service_level_recorder.h"
#include "entry_process/internal/shard.h"
#include "framework/http/http_server.h"
#include "framework/http/task_queue.h"
#include "framework/log/log.h"

namespace acacialug::entry_process {
namespace {

constexpr auto kDrainCheckInterval = std::chrono::milliseconds(20);

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

// Makes ids for requests that never reach a shard. Thread safe.
class RequestNames {
 public:
  explicit RequestNames(std::uint64_t seed) : random(seed) {}

  RequestId Next() {
    const std::scoped_lock lock(this->mutex);
    return this->random.NextRequestId();
  }

 private:
  std::mutex mutex;
  RandomSource random;  // guarded by mutex
};

}  // namespace

class EntryProcess::Implementation {
 public:
  Implementation(EntryProcessOptions process_options,
                 metrics::Registry& metrics_registry,
                 std::function<void(bool)> drained_hook);

  Status Start();
  void SetManifest(const std::shared_ptr<const manifest::Manifest>& newest,
                   const std::string& text);
  void SetLeavingHosts(const std::set<HostId>& hosts);
  void Drain();

  http::Server& callers() { return *this->callers_server; }
  http::Server& operations() { return *this->operations_server; }

 private:
  void MakeCallersServer();
  void MakeOperationsServer();
  http::RequestHandler MakeShard(int index);
  // Thread safe: posts to the main thread.
  void ReportManifestOffset(LogOffset offset);
  Heartbeats::Options HeartbeatOptions(metrics::Registry& registry);
  // Runs `task` on the main thread, later. Thread safe.
  void PostToMain(std::function<void()> task);
  // Runs `task` on the shard's thread, with the shard.
  void OnShard(int index, const std::function<void(Shard&)>& task);
  // Runs `task` on each shard's thread, with the shard.
  void OnEachShard(const std::function<void(Shard&)>& task);
  void DrainSoon();
  void StopTakingRequests();
  void CheckDrained();
  void FinishDrain(bool whole);

  const EntryProcessOptions options;
  std::function<void(bool)> on_drained;
  RandomSource random = RandomSource::FromSystem();
  RequestNames request_names;
  ProcessState state;
  ServiceLevelRecorder service_levels;
  DigestAppender digests;
  EntryMeasures measures;
  OperationsPages pages;
  log::RepeatLimiter log_limiter;
  Heartbeats heartbeats;
  std::vector<std::uint64_t> seeds;
  // Each shard is used on its own thread only.
  std::vector<std::unique_ptr<Shard>> shards;
  QObject context;
  http::TaskQueue main_tasks;  // from the shards' threads
  QTimer drain_check;
  Instant drain_until = kNever;
  // Declared last, so that their threads end before the objects that the shards
  // use.
  std::unique_ptr<http::Server> operations_server;
  std::unique_ptr<http::Server> callers_server;
};

EntryProcess::Implementation::Implementation(
    EntryProcessOptions process_options,
    metrics::Registry& metrics_registry,
    std::function<void(bool)> drained_hook)
    : options(std::move(process_options)),
      on_drained(std::move(drained_hook)),
      request_names(this->random.Next()),
      state({.entry = this->options.core.id,
             .incarnation = this->options.core.incarnation,
             .shards = this->options.shards,
             .ready_wait = this->options.ready_wait,
             .started = MonotonicNow(),
             .trace_bytes = this->options.trace_bytes}),
      service_levels({.entry = this->options.core.id,
                      .incarnation = this->options.core.incarnation,
                      .live_entries = this->options.live_entries,
                      .seed = this->random.Next(),
                      .has_log = static_cast<bool>(this->options.make_log)}),
      digests(
          {.recorder = this->service_levels,
           .log = this->options.make_log ? this->options.make_log() : nullptr}),
      measures(metrics_registry, &this->service_levels),
      pages({.state = this->state,
             .registry = metrics_registry,
             .drain_rules = {.allowed = this->options.allow_drain,
                             .name = this->options.core.id.text},
             .drain = [this] { this->DrainSoon(); },
             .service_levels = &this->service_levels}),
      log_limiter({}),
      heartbeats(this->HeartbeatOptions(metrics_registry)),
      shards(this->options.shards) {
  for (int shard = 0; shard < this->options.shards; ++shard) {
    this->seeds.push_back(this->random.Next());
  }
  QObject::connect(&this->drain_check, &QTimer::timeout, &this->context,
                   [this] { this->CheckDrained(); });
  this->MakeCallersServer();
  if (this->options.operations_listen) {
    this->MakeOperationsServer();
  }
}

void EntryProcess::Implementation::MakeCallersServer() {
  this->callers_server = std::make_unique<http::Server>(http::ServerOptions{
      .listen = this->options.listen,
      .limits = this->options.limits,
      .tls = this->options.tls,
      .shard_threads = this->options.shards,
      .make_handler = [this](int shard) { return this->MakeShard(shard); },
      .on_shard_end = [this](int shard) { this->shards[shard].reset(); },
      .render_error =
          [this](int /*status*/, const Error& error) {
            this->measures.OnBadRequest(error.result_code());
            return RenderRefusal(
                error, {}, IdentityHeaders(this->request_names.Next(), {}));
          }});
}

// Only operators use the operations port: its few pages are served on the main
// thread, within small bounds.
void EntryProcess::Implementation::MakeOperationsServer() {
  this->operations_server = std::make_unique<http::Server>(http::ServerOptions{
      .listen = *this->options.operations_listen,
      .limits = {.max_body_bytes = 1024,
                 .max_connections = 64,
                 .idle_yields = true},
      .make_handler =
          [this](int /*shard*/) {
            return [this](const http::Request& request,
                          const http::ResponderPtr& responder) {
              responder->SendWhole(this->pages.Answer(request, MonotonicNow()));
            };
          },
      .render_error =
          [](int /*status*/, const Error& error) {
            return RenderRefusal(error, {}, {});
          }});
}

http::RequestHandler EntryProcess::Implementation::MakeShard(int index) {
  this->shards[index] = std::make_unique<Shard>(Shard::Options{
      .index = index,
      .seed = this->seeds[index],
      .process = this->options,
      .state = this->state,
      .measures = this->measures,
      .log_limiter = this->log_limiter,
      .on_manifest_reported =
          [this](LogOffset offset) { this->ReportManifestOffset(offset); },
      .on_session_opened =
          [this](const heartbeat::OpenSession& session, std::uint16_t port) {
            this->PostToMain([this, session, port] {
              this->heartbeats.OnOpened(session, port);
            });
          },
      .on_session_closed =
          [this, index](const EndpointId& endpoint) {
            this->PostToMain([this, index, endpoint] {
              this->heartbeats.OnClosed(index, endpoint);
            });
          }});
  return [shard = this->shards[index].get()](http::Request request,
                                             http::ResponderPtr responder) {
    shard->Handle(std::move(request), std::move(responder));
  };
}

Heartbeats::Options EntryProcess::Implementation::HeartbeatOptions(
    metrics::Registry& registry) {
  return {.process = this->options,
          .state = this->state,
          .registry = registry,
          .log_limiter = this->log_limiter,
          .seed = this->random.Next(),
          .on_renewed =
              [this](int index,
                     const std::vector<heartbeat::RenewalReport>& renewed) {
                this->OnShard(index, [renewed](Shard& shard) {
                  shard.OnRenewed(renewed);
                });
              },
          .on_interval =
              [this](Duration interval) {
                this->OnEachShard([interval](Shard& shard) {
                  shard.SetRenewInterval(interval);
                });
              },
          .on_manifest_reported =
              [this](LogOffset offset) { this->ReportManifestOffset(offset); }};
}

void EntryProcess::Implementation::PostToMain(std::function<void()> task) {
  this->main_tasks.Post(std::move(task));
}

void EntryProcess::Implementation::ReportManifestOffset(LogOffset offset) {
  this->PostToMain([this, offset] {
    if (this->options.on_manifest_reported) {
      this->options.on_manifest_reported(offset);
    }
  });
}

Status EntryProcess::Implementation::Start() {
  if (this->operations_server != nullptr) {
    Status started = this->operations_server->Start();
    if (!started.ok()) {
      return started;
    }
  }
  this->heartbeats.Start();
  return this->callers_server->Start();
}

void EntryProcess::Implementation::OnEachShard(
    const std::function<void(Shard&)>& task) {
  for (int index = 0; index < this->options.shards; ++index) {
    this->OnShard(index, task);
  }
}

void EntryProcess::Implementation::OnShard(
    int index,
    const std::function<void(Shard&)>& task) {
  this->callers_server->PostToShard(index, [this, index, task] {
    if (this->shards[index] != nullptr) {
      task(*this->shards[index]);
    }
  });
}

void EntryProcess::Implementation::SetLeavingHosts(
    const std::set<HostId>& hosts) {
  this->OnEachShard([hosts](Shard& shard) { shard.SetLeavingHosts(hosts); });
}

void EntryProcess::Implementation::SetManifest(
    const std::shared_ptr<const manifest::Manifest>& newest,
    const std::string& text) {
  this->state.SetManifest(newest);
  if (!text.empty()) {
    this->pages.SetManifestPage(configuration_client::RenderPeerManifest(
        {.offset = newest->offset, .text = text}));
  }
  log::Info("manifest_taken", {.fields = {{"offset", newest->offset},
                                          {"version", newest->version}}});
  this->OnEachShard([newest](Shard& shard) { shard.SetManifest(newest); });
  this->heartbeats.OnManifest(newest->offset);
}

void EntryProcess::Implementation::Drain() {
  if (this->state.draining()) {
    return;
  }
  this->state.BeginDrain();
  log::Info("drain_begun",
            {.fields = {{"delay_ms", this->options.drain_delay},
                        {"grace_ms", this->options.drain_grace}}});
  QTimer::singleShot(Milliseconds(this->options.drain_delay), &this->context,
                     [this] { this->StopTakingRequests(); });
}

// Drains from the next iteration of the event loop on, so that the client that
// requested it through the operations port gets an answer also from a process
// that has nothing to finish.
void EntryProcess::Implementation::DrainSoon() {
  QTimer::singleShot(0, &this->context, [this] { this->Drain(); });
}

void EntryProcess::Implementation::StopTakingRequests() {
  this->OnEachShard([](Shard& shard) { shard.BeginDrain(); });
  this->callers_server->StopAccepting();
  this->drain_until = MonotonicNow() + this->options.drain_grace;
  this->drain_check.start(kDrainCheckInterval);
}

void EntryProcess::Implementation::CheckDrained() {
  const bool whole =
      this->state.AllDrained() && this->callers_server->open_connections() == 0;
  if (whole || MonotonicNow() >= this->drain_until) {
    this->drain_check.stop();
    this->FinishDrain(whole);
  }
}

void EntryProcess::Implementation::FinishDrain(bool whole) {
  log::Info("drain_ended",
            {.fields = {{"whole", whole},
                        {"cut_requests", this->state.AliveRequests()}}});
  this->digests.Finish([this, whole] { this->on_drained(whole); });
}

EntryProcess::EntryProcess(EntryProcessOptions options,
                           metrics::Registry& registry,
                           std::function<void(bool whole)> on_drained)
    : implementation(std::make_unique<Implementation>(std::move(options),
                                                      registry,
                                                      std::move(on_drained))) {}

EntryProcess::~EntryProcess() = default;

Status EntryProcess::Start() {
  return this->implementation->Start();
}

std::uint16_t EntryProcess::port() const {
  return this->implementation->callers().port();
}

std::uint16_t EntryProcess::operations_port() const {
  return this->implementation->operations().port();
}

void EntryProcess::SetManifest(
    const std::shared_ptr<const manifest::Manifest>& newest,
    const std::string& text) {
  this->implementation->SetManifest(newest, text);
}

void EntryProcess::SetLeavingHosts(const std::set<HostId>& hosts) {
  this->implementation->SetLeavingHosts(hosts);
}

void EntryProcess::Drain() {
  this->implementation->Drain();
}

Status EntryProcess::ReloadTls() {
  return this->implementation->callers().ReloadTls();
}

}  // namespace acacialug::entry_process
