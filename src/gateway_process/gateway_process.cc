#include "gateway_process/gateway_process.h"

#include <QTimer>
#include <algorithm>
#include <set>
#include <utility>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/log/log.h"
#include "framework/metrics/exposition.h"
#include "gateway/gateway_core.h"
#include "gateway_process/metric_definitions.h"
#include "gateway_process/peer_link.h"

namespace acacialug::gateway_process {
namespace {

// A connection within a site opens in a few milliseconds.
constexpr Duration kConnectTimeout = 500ms;
// Idle connections of this process to one endpoint: enough for a burst.
constexpr std::size_t kMaxIdleConnections = 24;
// The load balancer probes each second and needs two misses; until then it goes
// on sending new connections.
constexpr Duration kBalancerDetectionTime = 2300ms;
// Before the forced end, so that the log says what was cut off.
constexpr Duration kFinalLogMargin = 300ms;
// Before that, so that the last answers reach their callers.
constexpr Duration kFinalAnswersMargin = 200ms;
constexpr std::chrono::milliseconds kDrainCheckInterval{50};
constexpr std::chrono::milliseconds kLogFlushInterval{100};
constexpr std::chrono::milliseconds kReadinessReportInterval{1000};
// Shortest timer that runs behind pending socket events.
constexpr Duration kMinTimerDelay = 1ms;
// Limits of log entries per second for each event: four times the number at the
// planned rates without faults.
constexpr std::uint64_t kInfoEntries = 200;
constexpr std::uint64_t kWarningEntries = 500;
constexpr std::size_t kCountedCustomers = 64;
// In seconds, for a request that this process has no room for: another gateway
// may serve it at once.
constexpr std::string_view kRetryElsewhere = "0.05";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Of these, callers' requests have one, endpoints' answers that are not whole
// one, and whole ones that callers have not taken one. The rest is for copies
// on their way, for connections and for the process itself.
constexpr std::size_t kMemoryParts = 6;
constexpr std::size_t kProcessBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kConnectionBytes = std::size_t{8} * 1024;
constexpr std::size_t kMinConnections = 64;
constexpr std::size_t kMaxConnections = 3000;

gateway::AnswerMemory::Options AnswerMemoryOf(const GatewaySettings& settings) {
  const std::size_t bytes = settings.memory_limit / kMemoryParts;
  return {.max_bytes = bytes,
          .max_answer_bytes = std::min(
              bytes, gateway::AnswerMemory::Options{}.max_answer_bytes)};
}

http::ServerLimits CallerLimitsOf(const GatewaySettings& settings) {
  const std::size_t half = settings.memory_limit / 2;
  return {.max_bodies_bytes = settings.memory_limit / kMemoryParts,
          .max_untaken_bytes = settings.memory_limit / kMemoryParts,
          .max_connections = std::clamp(
              (half - std::min(half, kProcessBytes)) / kConnectionBytes,
              kMinConnections, kMaxConnections),
          .idle_yields = true};
}

std::chrono::milliseconds MillisecondsUntil(Instant at) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(Duration::zero(), at - MonotonicNow()));
}

}  // namespace

class GatewayProcess::Implementation {
 public:
  Implementation(Options process_options,
                 metrics::Registry& metrics_registry,
                 RandomSource& random)
      : options(std::move(process_options)),
        registry(metrics_registry),
        client({.connect_timeout = kConnectTimeout,
                .silence_timeout = Duration::zero(),
                .max_idle_connections = kMaxIdleConnections}),
        core(this->CoreOptions(), random),
        peers(this->PeerOptions(random)) {
    this->core_timer.setSingleShot(true);
    this->core_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&this->core_timer, &QTimer::timeout,
                     [this] { this->FireDueTimers(); });
    QObject::connect(&this->flush, &QTimer::timeout, [] { log::Flush(); });
    QObject::connect(&this->drain_check, &QTimer::timeout,
                     [this] { this->CheckDrained(); });
    QObject::connect(&this->readiness_report, &QTimer::timeout,
                     [this] { this->LogAwaited(); });
    this->MakeServers();
    this->WakeAt(this->core.next_timer());
  }

  Status Start() {
    for (http::Server* const server :
         {this->readiness.get(), this->operations.get(), this->callers.get()}) {
      if (server == nullptr) {
        continue;
      }
      if (Status started = server->Start(); !started) {
        return started;
      }
    }
    this->flush.start(kLogFlushInterval);
    this->readiness_report.start(kReadinessReportInterval);
    return this->peers.Start();
  }

  void SetConfiguration(std::shared_ptr<const gateway::Configuration> newest) {
    if (this->core.SetConfiguration(std::move(newest))) {
      this->ReportPositions();
    }
    this->LogReadiness();
  }

  NextVersion configuration_known() const {
    const auto configuration = this->core.configuration();
    return configuration == nullptr ? NextVersion()
                                    : NextVersion(configuration->version + 1);
  }

  template <typename Update>
  void Apply(const Update& update) {
    const bool changed = this->core.Apply(update);
    this->ReportPositions();
    if (changed) {
      this->LogReadiness();
    }
  }

  void SetStoreServes(bool serves) {
    this->peers.SetStoreServes(serves);
    if (serves) {
      this->core.NoteStoreBack();
    } else {
      this->core.NoteStoreLost();
    }
  }

  std::vector<retry::CrashRecord> QuarantinedRequests() const {
    return this->core.QuarantinedRequests();
  }

  void NoteStoreEra(std::uint64_t era) {
    this->core.NoteStoreEra(era);
    this->ReportPositions();
  }

  void NoteStoreRead(Instant asked_at) {
    this->core.NoteStoreRead(asked_at);
    this->peers.NoteStoreRead(asked_at);
  }
  bool PeersReadStore() { return this->peers.PeersReadStore(); }
  std::size_t live_peers() const { return this->live_peer_count; }

  void SetCrash(const retry::CrashRecord& report) {
    this->core.SetPeerCrash(report);
  }

  void SetVersionRecord(const origin::VersionRecord& record) {
    this->core.SetVersionRecord(record);
  }
  void NoteVersionRecordsRead() { this->core.NoteVersionRecordsRead(); }
  void OnVersionsRecorded(const origin::VersionRecord& record, bool written) {
    this->core.OnVersionsRecorded(record, written);
  }

  void SetMembers(const std::map<std::string, http::Address>& members) {
    this->peers.SetMembers(members);
  }

  void Drain() {
    if (this->draining) {
      return;
    }
    this->draining = true;
    this->drain_begun = MonotonicNow();
    log::Info("drain_begun",
              {.fields = {{"grace_ms", this->options.settings.drain_grace},
                          {"under_way", this->core.requests_under_way()}}});
    this->core.BeginDrain(this->options.settings.drain_grace - kFinalLogMargin -
                          kFinalAnswersMargin);
    this->drain_check.start(kDrainCheckInterval);
  }

 private:
  gateway::GatewayCore::Options CoreOptions() {
    const GatewaySettings& settings = this->options.settings;
    return {.id = settings.id,
            .domain = settings.domain,
            .repeat_share = settings.repeat_share,
            .repeat_extra = settings.repeat_extra,
            .repeat_window = settings.repeat_window,
            .started_at = MonotonicNow(),
            .placement = settings.placement,
            .admission = settings.admission,
            .crashes = settings.crashes,
            .part_crashes = settings.part_crashes,
            .quotas = settings.quotas,
            .answer_memory = AnswerMemoryOf(settings),
            .hooks = this->CoreHooks(),
            .dialect = this->options.dialect};
  }

  gateway::GatewayHooks CoreHooks() {
    return {
        .now = MonotonicNow,
        .send =
            [this](const http::Address& address, const http::Request& request,
                   http::ExchangeHooks hooks,
                   const http::SendOptions& send_options) {
              return this->client.Send(address, request, std::move(hooks),
                                       send_options);
            },
        .cancel =
            [this](http::Client::ExchangeId exchange) {
              this->client.Cancel(exchange);
            },
        .end_sending =
            [this](http::Client::ExchangeId exchange) {
              this->client.EndSending(exchange);
            },
        .drop_idle =
            [this](const http::Address& address) {
              this->client.DropIdle(address);
            },
        .wake_at = [this](Instant at) { this->WakeAt(at); },
        .on_stall =
            [this](Duration up_to) {
              this->registry.Get(kGatewayStallSeconds).Record(Seconds(up_to));
            },
        .on_load_changed = [this] { this->peers.OnLoadChanged(); },
        .on_pauses_changed = [this] { this->peers.ReportPauses(); },
        .acquire_term = this->options.acquire_term,
        .on_quarantine = this->options.on_quarantine,
        .on_store_era = this->options.on_store_era,
        .send_origins =
            [this](const std::string& peer,
                   const origin::OriginMessage& message) {
              this->peers.SendOrigins(peer, message);
            },
        .record_versions = this->options.record_versions,
        .log =
            [this](log::Level level, std::string_view event,
                   log::Record record) {
              log::WriteLimited(
                  level >= log::Level::kWarning ? this->warning_limiter
                                                : this->info_limiter,
                  MonotonicNow(), level, event, std::move(record));
            },
        .on_refusal =
            [this](ResultCode code, const gateway::Customer* customer) {
              this->CountRefusal(code, customer);
            },
        .on_end =
            [this](const gateway::Route& route,
                   const gateway::RelayOutcome& outcome) {
              this->Measure(route, outcome);
            }};
  }

  PeerLink::Options PeerOptions(RandomSource& random) {
    return {
        .id = this->options.settings.id,
        .domain = this->options.settings.domain,
        .incarnation = random.NextIncarnation(),
        .listen = this->options.settings.peer_listen,
        .own_load = [this] { return this->core.OwnLoad(); },
        .own_catalog =
            [this](LogOffset endpoints_known) {
              return Catalog{
                  .configuration = this->core.configuration(),
                  .endpoints = this->core.Endpoints(endpoints_known)};
            },
        .own_pauses = [this] { return this->core.OwnPauses(); },
        .on_pause =
            [this](const gateway::EndpointPause& pause) {
              this->core.SetPause(pause);
            },
        .on_load =
            [this](const std::string& peer, const gateway::PeerLoad& load) {
              this->core.SetPeerLoad(peer, load);
            },
        .next_forecast = [this] { return this->core.NextForecast(); },
        .on_forecast =
            [this](const std::string& peer,
                   const forecast::ForecastReport& report) {
              this->core.SetPeerForecast(peer, report);
            },
        .collect_crash_reports =
            [this](std::size_t max_count, std::size_t round) {
              return this->core.CollectCrashReports(max_count, round);
            },
        .on_crash =
            [this](const retry::CrashRecord& report) {
              this->SetCrash(report);
            },
        .on_new_peer = [this] { this->core.ResendCrashReports(); },
        .collect_limit_reports =
            [this](std::size_t max_count, std::size_t round) {
              return this->core.CollectLimitReports(max_count, round);
            },
        .on_limit =
            [this](const gateway::EndpointLimitReport& report) {
              this->core.SetPeerLimit(report);
            },
        .collect_quota_reports =
            [this](std::size_t group, std::size_t max_count) {
              return this->core.CollectQuotaReports(group, max_count);
            },
        .on_heartbeat =
            [this](const std::string& peer, Incarnation incarnation,
                   const std::vector<quota::QuotaUse>& report) {
              this->core.OnPeerHeartbeat(peer, incarnation, report);
            },
        .on_listed =
            [this](const std::string& peer) { this->core.OnPeerListed(peer); },
        .version_reports = [this] { return this->core.VersionReports(); },
        .on_versions =
            [this](const std::vector<origin::VersionReport>& reports) {
              this->core.SetPeerVersions(reports);
            },
        .on_origins =
            [this](const std::string& peer,
                   const origin::OriginMessage& message) {
              this->core.OnOriginMessage(peer, message);
            },
        .on_confirmed =
            [this](Instant at) { this->core.NoteCatalogConfirmed(at); },
        .on_peer_count =
            [this](std::size_t live_peer_count,
                   std::optional<std::size_t> known, bool first) {
              this->core.SetPeers(known, first);
              this->live_peer_count = live_peer_count;
              this->registry.Get(kGatewayPeers)
                  .Set(static_cast<double>(live_peer_count));
            },
        .on_catalog =
            [this](const Catalog& catalog) {
              if (catalog.configuration != nullptr) {
                this->SetConfiguration(catalog.configuration);
              }
              this->Apply(catalog.endpoints);
            }};
  }

  void MakeServers() {
    const GatewaySettings& settings = this->options.settings;
    this->callers = std::make_unique<http::Server>(http::ServerOptions{
        .listen = settings.listen,
        .limits = CallerLimitsOf(settings),
        .make_handler =
            [this](int /*shard*/) {
              return
                  [this](http::Request request, http::ResponderPtr responder) {
                    this->core.Handle(std::move(request), std::move(responder));
                  };
            },
        .render_error =
            [this](int status, const Error& error) {
              this->LogBadRequest(status, error);
              http::Response answer{.status = status};
              if (status == kUnavailable) {
                answer.headers.push_back(
                    {"Retry-After", std::string(kRetryElsewhere)});
              }
              return answer;
            }});
    this->readiness = this->MakePages(
        settings.readiness_listen,
        [this](const http::Request& request) { return this->Ready(request); });
    if (settings.operations_listen) {
      this->operations = this->MakePages(*settings.operations_listen,
                                         [this](const http::Request& request) {
                                           return this->OperationsPage(request);
                                         });
    }
  }

  std::unique_ptr<http::Server> MakePages(
      const http::Address& listen,
      std::function<http::Response(const http::Request&)> answer) {
    return std::make_unique<http::Server>(http::ServerOptions{
        .listen = listen,
        .limits = {.max_body_bytes = 1024,
                   .max_connections = 64,
                   .idle_yields = true},
        .make_handler =
            [answer = std::move(answer)](int /*shard*/) {
              return [answer](const http::Request& request,
                              const http::ResponderPtr& responder) {
                responder->SendWhole(answer(request));
              };
            },
        .render_error =
            [](int status, const Error&) {
              return http::Response{.status = status};
            }});
  }

  http::Response Ready(const http::Request& request) const {
    if (request.Path() != this->options.settings.readiness_path) {
      return {.status = kNotFound};
    }
    if (this->draining) {
      return {.status = kUnavailable, .body = "drains\n"};
    }
    return this->core.Ready()
               ? http::Response{.status = kOk}
               : http::Response{
                     .status = kUnavailable,
                     .body = "awaits " + std::string(this->Awaited()) + "\n"};
  }

  // Precondition: this process is not ready.
  std::string_view Awaited() const {
    if (this->core.configuration() != nullptr) {
      return "endpoints";
    }
    return this->core.endpoint_count() > 0 ? "configuration"
                                           : "configuration and endpoints";
  }

  void LogAwaited() {
    if (!this->core.Ready()) {
      log::Warning("readiness_awaits",
                   {.fields = {{"awaited", this->Awaited()},
                               {"peers", this->live_peer_count}}});
    }
  }

  http::Response OperationsPage(const http::Request& request) {
    if (request.Path() != "/metrics") {
      return {.status = kNotFound};
    }
    this->registry.Get(kGatewayUnderWay)
        .Set(static_cast<double>(this->core.requests_under_way()));
    this->registry.Get(kGatewayWaiting)
        .Set(static_cast<double>(this->core.requests_waiting()));
    this->registry.Get(kGatewayLimited)
        .Set(static_cast<double>(this->core.endpoints_limited()));
    this->registry.Get(kGatewayStreamOrigins)
        .Set(static_cast<double>(this->core.stream_origins()));
    this->registry.Get(kGatewayQuarantined)
        .Set(static_cast<double>(this->core.requests_quarantined()));
    this->registry.Get(kGatewayPartsQuarantined)
        .Set(static_cast<double>(this->core.parts_quarantined()));
    return {.status = kOk,
            .headers = {{"Content-Type",
                         std::string(metrics::kPrometheusContentType)}},
            .body = metrics::PrometheusText(this->registry.Read())};
  }

  void LogBadRequest(int status, const Error& error) {
    log::WriteLimited(
        this->warning_limiter, MonotonicNow(), log::Level::kWarning,
        "request_unreadable",
        {.code = error.result_code(),
         .fields = {{"status", status}, {"detail", error.detail}}});
  }

  void LogReadiness() {
    const bool ready = this->core.Ready();
    if (ready != this->was_ready) {
      this->was_ready = ready;
      log::Info(ready ? "ready" : "not_ready",
                {.fields = {
                     {"endpoints_as_of", this->core.endpoints_complete_to()}}});
    }
  }

  void ReportPositions() {
    this->peers.SetPositions(
        {.configuration = this->configuration_known(),
         .changed_to = this->core.endpoints_changed_to(),
         .complete_to = this->core.endpoints_complete_to()});
  }

  void Measure(const gateway::Route& route,
               const gateway::RelayOutcome& outcome) {
    const std::string_view kind = NameOf(gateway::kWorkKindNames, route.kind);
    this->registry
        .Get(kGatewayRequestsTotal,
             {kind, NameOf(gateway::kRelayEndNames, outcome.end)})
        .Add();
    this->registry.Get(kGatewaySendsTotal, {"work"}).Add(outcome.sends);
    this->registry.Get(kGatewaySendsTotal, {"prefill"}).Add(outcome.prefills);
    this->registry.Get(kGatewayUnusedPromptsTotal).Add(outcome.unused_prompts);
    this->registry.Get(kGatewayLossesTotal, {kind}).Add(outcome.losses);
    this->registry.Get(kGatewayRepeatsTotal, {kind, "covered"})
        .Add(outcome.repeats - outcome.uncovered_repeats);
    this->registry.Get(kGatewayRepeatsTotal, {kind, "missing"})
        .Add(outcome.uncovered_repeats);
    this->registry.Get(kGatewayUnframedAnswersTotal, {kind})
        .Add(outcome.unframed_answers);
    if (outcome.partial_event_bytes > 0) {
      this->registry
          .Get(kGatewayPartialEventsTotal,
               {NameOf(gateway::kRelayEndNames, outcome.end)})
          .Add();
    }
    if (outcome.resumes) {
      this->registry
          .Get(kGatewayResumedStreamsTotal,
               {NameOf(gateway::kRelayEndNames, outcome.end)})
          .Add();
    }
    if (outcome.software_versions.size() > 1) {
      this->registry.Get(kGatewayMixedStreamsTotal).Add();
    }
    this->registry.Get(kGatewayWholeSeconds, {kind})
        .Record(Seconds(outcome.whole));
    if (outcome.first_byte > Duration::zero()) {
      this->registry.Get(kGatewayFirstByteSeconds, {kind})
          .Record(Seconds(outcome.first_byte));
    }
    if (gateway::IsStream(route.kind)) {
      this->registry.Get(kGatewayWaitSeconds, {kind})
          .Record(Seconds(outcome.waited));
    }
  }

  // Customers beyond a maximum number are counted together, to bound the
  // labels.
  void CountRefusal(ResultCode code, const gateway::Customer* customer) {
    std::string name;
    if (customer != nullptr) {
      const bool listed =
          this->counted_customers.contains(customer->name) ||
          (this->counted_customers.size() < kCountedCustomers &&
           this->counted_customers.insert(customer->name).second);
      name = listed ? customer->name.text : "(others)";
    }
    this->registry
        .Get(kGatewayRefusalsTotal, {std::string(ResultCodeName(code)), name})
        .Add();
  }

  void WakeAt(Instant at) {
    if (at != kNever) {
      this->core_timer.start(MillisecondsUntil(at));
    }
  }

  // After a stall the core fires no timer until it is called again. A timer
  // with zero delay would run only when no socket has anything left, which a
  // busy process may never reach; a timer of a millisecond runs behind the
  // sockets.
  void FireDueTimers() {
    this->core.OnTimer();
    this->WakeAt(
        std::max(this->core.next_timer(), MonotonicNow() + kMinTimerDelay));
  }

  void CheckDrained() {
    const Duration since = MonotonicNow() - this->drain_begun;
    if (since >= kBalancerDetectionTime && !this->stopped_accepting) {
      this->stopped_accepting = true;
      this->callers->StopAccepting();
    }
    const Duration end = this->options.settings.drain_grace - kFinalLogMargin;
    if (since >= end - kFinalAnswersMargin) {
      this->core.EndUnanswered();
    }
    const bool whole = this->stopped_accepting && this->AllSent();
    if (!whole && since < end) {
      return;
    }
    this->drain_check.stop();
    log::Info("drain_ended",
              {.fields = {{"whole", whole},
                          {"cut_requests", this->core.requests_under_way()},
                          {"open_connections", this->OpenConnections()},
                          {"unsent_bytes", this->UnsentBytes()}}});
    log::Flush();
    this->options.on_drained(whole);
  }

  // Whether all answers have left this process. An answer that was handed to
  // its connection lies in a buffer that ends with the process.
  bool AllSent() {
    if (this->core.requests_under_way() > 0 ||
        this->callers->open_connections() > 0) {
      return false;
    }
    if (!std::exchange(this->stopped_reporting, true)) {
      this->ForEachServer([](http::Server& server) { server.StopAccepting(); });
    }
    return this->OpenConnections() == 0;
  }

  void ForEachServer(const std::function<void(http::Server&)>& visit) const {
    for (http::Server* const server :
         {this->readiness.get(), this->operations.get(), this->callers.get()}) {
      if (server != nullptr) {
        visit(*server);
      }
    }
  }

  std::size_t OpenConnections() const {
    std::size_t open = 0;
    this->ForEachServer([&open](const http::Server& server) {
      open += server.open_connections();
    });
    return open;
  }

  std::size_t UnsentBytes() const {
    std::size_t bytes = 0;
    this->ForEachServer([&bytes](const http::Server& server) {
      bytes += server.unsent_bytes();
    });
    return bytes;
  }

  const Options options;
  metrics::Registry& registry;
  log::RepeatLimiter info_limiter{{.lines_per_window = kInfoEntries}};
  log::RepeatLimiter warning_limiter{{.lines_per_window = kWarningEntries}};
  QTimer core_timer;
  QTimer flush;
  QTimer drain_check;
  QTimer readiness_report;
  http::Client client;
  gateway::GatewayCore core;
  PeerLink peers;
  std::unique_ptr<http::Server> callers;
  std::unique_ptr<http::Server> readiness;
  std::unique_ptr<http::Server> operations;
  Instant drain_begun{};
  std::size_t live_peer_count = 0;
  std::set<CustomerName> counted_customers;
  bool draining = false;
  bool stopped_accepting = false;
  bool stopped_reporting = false;  // on the readiness and operations ports
  bool was_ready = false;
};

GatewayProcess::GatewayProcess(Options process_options,
                               metrics::Registry& registry,
                               RandomSource& random)
    : implementation(
          std::make_unique<Implementation>(std::move(process_options),
                                           registry,
                                           random)) {}

GatewayProcess::~GatewayProcess() = default;

Status GatewayProcess::Start() {
  return this->implementation->Start();
}

void GatewayProcess::SetConfiguration(
    std::shared_ptr<const gateway::Configuration> newest) {
  this->implementation->SetConfiguration(std::move(newest));
}

NextVersion GatewayProcess::configuration_known() const {
  return this->implementation->configuration_known();
}

void GatewayProcess::Apply(const gateway::EndpointChange& change) {
  this->implementation->Apply(change);
}

void GatewayProcess::Apply(const gateway::EndpointSnapshot& snapshot) {
  this->implementation->Apply(snapshot);
}

void GatewayProcess::SetStoreServes(bool serves) {
  this->implementation->SetStoreServes(serves);
}

std::vector<retry::CrashRecord> GatewayProcess::QuarantinedRequests() const {
  return this->implementation->QuarantinedRequests();
}

void GatewayProcess::NoteStoreEra(std::uint64_t era) {
  this->implementation->NoteStoreEra(era);
}

void GatewayProcess::NoteStoreRead(Instant asked_at) {
  this->implementation->NoteStoreRead(asked_at);
}

bool GatewayProcess::PeersReadStore() {
  return this->implementation->PeersReadStore();
}

std::size_t GatewayProcess::live_peers() const {
  return this->implementation->live_peers();
}

void GatewayProcess::SetCrash(const retry::CrashRecord& kept) {
  this->implementation->SetCrash(kept);
}

void GatewayProcess::SetVersionRecord(const origin::VersionRecord& record) {
  this->implementation->SetVersionRecord(record);
}

void GatewayProcess::NoteVersionRecordsRead() {
  this->implementation->NoteVersionRecordsRead();
}

void GatewayProcess::OnVersionsRecorded(const origin::VersionRecord& record,
                                        bool written) {
  this->implementation->OnVersionsRecorded(record, written);
}

void GatewayProcess::SetMembers(
    const std::map<std::string, http::Address>& members) {
  this->implementation->SetMembers(members);
}

void GatewayProcess::Drain() {
  this->implementation->Drain();
}

}  // namespace acacialug::gateway_process
