#include "gateway/gateway_core.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <unordered_map>
#include <utility>

#include "framework/global/hex_text.h"
#include "gateway/endpoint_limits.h"
#include "gateway/internal/call_relay.h"
#include "gateway/internal/customer_admission.h"
#include "gateway/internal/endpoint_sender.h"
#include "gateway/internal/quarantine.h"
#include "gateway/internal/refusal.h"
#include "gateway/internal/relay_context.h"
#include "gateway/internal/role_orders.h"
#include "gateway/internal/stream_origins.h"
#include "gateway/internal/stream_relay.h"
#include "gateway/internal/takeup_resolver.h"
#include "gateway/internal/waiting_streams.h"
#include "gateway/request_key.h"
#include "gateway/types/store_position.h"
#include "placement/types/hashing.h"

namespace acacialug::gateway {
namespace {

// Retry-After while this process knows no configuration. Requests reach a
// process that is not ready only while no other process is ready either; all
// processes have just started then, and know a configuration in about a second.
// With a shorter delay callers would use up their last attempt before that.
constexpr Duration kRetryStarting = 700ms;
// Retry-After while a service has no endpoint, which lasts for several
// heartbeats at least.
constexpr Duration kRetryNoEndpoint = 500ms;
constexpr Duration kSweepInterval = 200ms;
// Factor by which a forecast figure must change before it is logged again.
// Figures vary by less than this all the time.
constexpr double kLoggedChangeFactor = 1.25;
// Deadlines of first attempts on one route differ by up to this share. It is
// below AdmissionQueue::Options::min_retry_share, so that a retry of a refused
// request is distinguished from a first attempt with a short deadline.
constexpr double kDeadlineSpread = 0.17;
// A plain request may take this many times as long as such requests usually do.
constexpr double kLongCallFactor = 2;

}  // namespace

class GatewayCore::Implementation {
  using Refusal = CustomerAdmission::Decision;

 public:
  Implementation(Options core_options, RandomSource& random_source)
      : options(std::move(core_options)),
        random(random_source),
        catalog({.on_restart =
                     [this](const EndpointRecord& started) {
                       this->OnRestart(started);
                     },
                 .on_departure =
                     [this](const Departure& departure) {
                       this->LogDeparture(departure);
                     }}),
        load_table(this->options.hooks.on_load_changed),
        timers(this->options.hooks.wake_at),
        quarantine(
            {.requests = this->options.crashes,
             .parts = this->options.part_crashes,
             .on_quarantined = [this] { this->waiting.OnQuarantineBegun(); }},
            this->options.hooks),
        origins({.id = this->options.id,
                 .hooks = this->options.hooks,
                 .catalog = this->catalog,
                 .timers = this->timers}),
        limits(this->options.id),
        sender(this->options.hooks,
               this->options.dialect,
               this->limits,
               this->catalog,
               this->health),
        customers({.tolerance = this->options.quotas,
                   .routes = [this] { return this->routes.get(); }}),
        streams(this->options.placement,
                this->load_table,
                this->health,
                this->paces),
        calls(this->load_table, this->health),
        answer_memory(this->options.answer_memory),
        context{
            .hooks = this->options.hooks,
            .dialect = this->options.dialect,
            .domain = this->options.domain,
            .sender = this->sender,
            .limits = this->limits,
            .catalog = this->catalog,
            .health = this->health,
            .load_table = this->load_table,
            .paces = this->paces,
            .streams = this->streams,
            .calls = this->calls,
            .timers = this->timers,
            .quarantine = this->quarantine,
            .origins = this->origins,
            .processes_seen = this->processes_seen,
            .answer_memory = this->answer_memory,
            .random = this->random,
            .processes = [this] { return this->peers ? *this->peers + 1 : 0; },
            .closing = [this] { return this->drain_begun != kNever; },
            .on_unplaced =
                [this](StreamRelay& relay) {
                  this->waiting.Add(std::static_pointer_cast<StreamRelay>(
                      relay.shared_from_this()));
                },
            .on_capacity_freed =
                [this](const ServiceName& service) {
                  this->waiting.OnCapacityFreed(service);
                }},
        waiting(this->context),
        takeups(
            {.hooks = this->options.hooks,
             .origins = this->origins,
             .state_of = [this](const ServiceName& service) -> ServiceState& {
               return this->StateOf(service);
             }}),
        roles({.holder = this->options.id,
               .routes = [this] { return this->routes.get(); },
               .forecast = [this](const ServiceName& service)
                   -> const forecast::ServiceForecast& {
                 return this->StateOf(service).forecast;
               }},
              this->context) {
    this->Sweep();
    this->roles.Start();
  }

  void Handle(http::Request request, http::ResponderPtr responder) {
    const Instant now = this->Now();
    // Callers count their deadlines from the time of sending. If the deadline
    // counted from the time of reading, a request that lay unread would be
    // forwarded with more time than is left.
    const Duration age = request.age;
    RelayJob job{
        .request = this->options.dialect.read_request(std::move(request)),
        .responder = std::move(responder),
        .routes = this->routes,
        .arrived = now - age};
    job.attempt = this->NextAttempt();
    const Refusal unroutable = this->FindRoute(job);
    // The key includes the customer, which FindRoute fills in.
    job.subjects = {.request = RequestKeyOf(job.request),
                    .parts = PartKeysOf(job.request)};
    if (unroutable.code != ResultCode::kOk) {
      this->AnswerWithoutRelay(job, unroutable);
      return;
    }
    // The deadline timer would fire only after the request had been sent to an
    // endpoint.
    if (age > Duration::zero() && age >= job.TimeLimit()) {
      this->AnswerWithoutRelay(
          job, {ResultCode::kDeadlineUnreachable, kRetryElsewhere});
      return;
    }
    if (const Duration left = this->quarantine.TimeLeft(job.subjects);
        left > Duration::zero()) {
      job.is_probe = this->quarantine.TryProbe(job.subjects);
      if (!job.is_probe) {
        this->AnswerWithoutRelay(job, {ResultCode::kQuarantined, left});
        return;
      }
    }
    if (const Refusal refused = this->customers.Take(job, now);
        refused.code != ResultCode::kOk) {
      this->AnswerWithoutRelay(job, refused);
      return;
    }
    job.state->budget.NoteRequest(now);
    if (job.Engine() != nullptr || IsStream(job.route->kind)) {
      this->BeginStream(std::move(job));
    } else {
      this->BeginCall(std::move(job));
    }
  }

  bool SetConfiguration(std::shared_ptr<const Configuration> newest) {
    if (this->routes != nullptr &&
        newest->version <= this->routes->configuration().version) {
      return false;
    }
    this->options.hooks.log(
        log::Level::kInfo, "configuration_taken",
        {.fields = {{"version", newest->version},
                    {"offset", newest->offset},
                    {"routes", newest->routes.size()},
                    {"services", newest->services.size()}}});
    const auto former = std::exchange(
        this->routes, std::make_shared<const RouteTable>(std::move(newest)));
    this->customers.OnConfigurationReplaced(former.get(), *this->routes);
    this->origins.OnConfigurationReplaced(*this->routes);
    return true;
  }

  template <typename Change>
  bool Apply(const Change& change) {
    this->NoteStoreEra(EraOf(EndOf(change)));
    const bool changed = this->catalog.Apply(change, this->Now());
    if (changed) {
      this->origins.OnCatalogReplaced();
      this->waiting.PlaceAll();
    }
    return changed;
  }

  EndpointSnapshot Endpoints(LogOffset since) const {
    return this->catalog.Snapshot(this->Now(), since);
  }

  static LogOffset EndOf(const EndpointChange& change) { return change.offset; }
  static LogOffset EndOf(const EndpointSnapshot& snapshot) {
    return snapshot.as_of;
  }

  // The first era that a process sees is no return, unless it had read the
  // store before: the store may name none until its first return.
  void NoteStoreEra(std::uint64_t era) {
    if (era <= this->store_era) {
      return;
    }
    const bool had_read = this->catalog.complete_to() != LogOffset();
    this->store_era = era;
    this->catalog.EnterEra(era, this->Now());
    if (had_read) {
      this->roles.NoteStoreReturned();
      this->origins.OnStoreReturned();
    }
    if (this->options.hooks.on_store_era) {
      this->options.hooks.on_store_era(era);
    }
  }

  void NoteStoreBack() { this->catalog.NoteStoreBack(this->Now()); }

  PeerLoad OwnLoad() const {
    const Instant now = this->Now();
    PeerLoad load = this->load_table.Own();
    for (const std::uint64_t key : this->paces.Reported(now)) {
      load.paces.push_back(
          {.endpoint_key = key, .pace = this->paces.Report(key, now)});
    }
    for (const auto& [service, state] : this->services) {
      for (const admission::LevelDemand& level : state.urgency.Report(now)) {
        load.demands.push_back({.service_key = KeyOf(service), .level = level});
      }
    }
    return load;
  }

  void SetPeerDemands(const std::string& peer, const PeerLoad& load) {
    if (load.demands.empty()) {
      return;
    }
    for (auto& [service, state] : this->services) {
      std::vector<admission::LevelDemand> levels;
      for (const PeerLoad::Demand& demand : load.demands) {
        if (demand.service_key == KeyOf(service)) {
          levels.push_back(demand.level);
        }
      }
      if (!levels.empty()) {
        state.urgency.SetPeer(peer, levels, this->Now());
      }
    }
  }

  void SetPeerLoad(const std::string& peer, const PeerLoad& load) {
    const Instant now = this->Now();
    this->load_table.SetPeer(peer, load, now);
    for (const PeerLoad::Pace& pace : load.paces) {
      this->paces.NotePeer(pace.endpoint_key, pace.pace, now);
    }
    this->SetPeerDemands(peer, load);
    this->waiting.PlaceAll();
  }

  void SetPause(const EndpointPause& pause) {
    if (pause.reason == PauseReason::kUnreachable) {
      if (this->health.NoteReportedUnreachable(pause.endpoint_key, pause.left,
                                               this->Now())) {
        this->LogSuspect(pause);
      }
    } else {
      this->health.NotePause(pause.endpoint_key, this->Now() + pause.left);
    }
  }

  std::vector<EndpointPause> OwnPauses() const {
    std::vector<EndpointPause> pauses = this->roles.Pauses();
    const auto unreachable = this->health.Unreachable(this->Now());
    pauses.insert(pauses.end(), unreachable.begin(), unreachable.end());
    return pauses;
  }

  std::optional<forecast::ForecastReport> NextForecast() {
    auto next = this->services.upper_bound(this->last_reported);
    if (next == this->services.end()) {
      next = this->services.begin();
    }
    // Visits each service at most once.
    for (std::size_t looked = 0; looked < this->services.size(); ++looked) {
      const auto& [service, state] = *next;
      if (state.forecast.HasObservations()) {
        this->last_reported = service;
        return forecast::ForecastReport{.service_key = KeyOf(service),
                                        .figures = state.forecast.Report(),
                                        .sizes = this->roles.SizesOf(service)};
      }
      if (++next == this->services.end()) {
        next = this->services.begin();
      }
    }
    return std::nullopt;
  }

  void SetPeerForecast(const std::string& peer,
                       const forecast::ForecastReport& reported) {
    if (this->routes == nullptr) {
      return;
    }
    for (const ServiceTraits& traits : this->routes->configuration().services) {
      if (KeyOf(traits.name) == reported.service_key) {
        this->StateOf(traits.name).forecast.Adopt(reported.figures);
        this->roles.NotePeer(traits.name, peer, reported.sizes);
      }
    }
  }

  void OnPeerHeartbeat(const std::string& peer,
                       Incarnation incarnation,
                       const std::vector<quota::QuotaUse>& reported) {
    const Instant now = this->Now();
    this->limits.OnPeerHeartbeat(peer, now);
    this->origins.OnPeerHeartbeat(peer);
    this->customers.OnPeerHeartbeat(peer, incarnation, reported, now);
  }

  void OnPeerListed(const std::string& peer) {
    const Instant now = this->Now();
    this->limits.OnPeerListed(peer, now);
    this->customers.ledger().OnPeerListed(peer, now);
  }

  void SetPeers(std::optional<std::size_t> count, bool first) {
    this->peers = count;
    this->origins.SetPeers(count);
    this->quarantine.SetProbes(first);
    this->roles.SetFirst(first);
  }

  void BeginDrain(Duration grace) {
    this->drain_begun = this->Now();
    this->drain_ends = this->drain_begun + grace;
    this->roles.SetFirst(false);
  }

  void EndUnanswered() {
    // A copy: a relay that ends is removed.
    for (const auto& [key, relay] : std::unordered_map(this->relays)) {
      relay->EndUnanswered();
    }
  }

  void OnTimer() {
    const Duration stall = this->timers.FireDue(this->Now());
    if (stall > Duration::zero()) {
      this->options.hooks.on_stall(stall);
      this->options.hooks.log(log::Level::kWarning, "stood_still",
                              {.fields = {{"up_to_ms", stall},
                                          {"under_way", this->relays.size()},
                                          {"waiting", this->waiting.size()}}});
    }
  }

  Instant Now() const { return this->options.hooks.now(); }

  Options options;
  RandomSource& random;
  EndpointCatalog catalog;
  std::uint64_t store_era = 0;
  EndpointHealth health;
  LoadTable load_table;
  EndpointPaces paces;
  TimerQueue timers;
  Quarantine quarantine;
  StreamOrigins origins;
  EndpointLimits limits;
  EndpointSender sender;
  CustomerAdmission customers;
  StreamPlacement streams;
  CallPlacement calls;
  ProcessesSeen processes_seen;
  AnswerMemory answer_memory;
  std::shared_ptr<const RouteTable> routes;
  std::map<ServiceName, ServiceState> services;
  std::unordered_map<const Relay*, std::shared_ptr<Relay>> relays;
  std::optional<std::size_t> peers;
  Instant drain_begun = kNever;
  Instant drain_ends = kNever;
  RelayContext context;
  WaitingStreams waiting;
  TakeupResolver takeups;
  RoleOrders roles;

 private:
  // Without this, an endpoint that restarts under the same id would keep the
  // load, the failures and the slowness of its previous incarnation: it would
  // look full or unhealthy for seconds, and the ends of its former streams
  // would be subtracted from the load that was placed there since.
  void OnRestart(const EndpointRecord& started) {
    this->load_table.Forget(started.id);
    this->health.Forget(started.id);
    this->paces.Forget(LoadTable::KeyOf(started.id));
    this->limits.Forget(LoadTable::KeyOf(started.id), this->Now());
    this->options.hooks.log(
        log::Level::kInfo, "endpoint_restarted",
        {.endpoint = started.id,
         .fields = {{"service", started.service},
                    {"born_unix_ms", started.started_at_ms}}});
  }

  void LogDeparture(const Departure& departure) {
    log::Record record{
        .endpoint = departure.id,
        .fields = {{"step", NameOf(kDepartureStepNames, departure.step)},
                   {"offset", departure.offset},
                   {"held_ms", departure.held}}};
    if (departure.silence) {
      record.fields.emplace_back("silent_ms", *departure.silence);
    }
    if (departure.unserved) {
      record.fields.emplace_back("store_unserved_ms", *departure.unserved);
    }
    this->options.hooks.log(log::Level::kInfo, "endpoint_departure",
                            std::move(record));
  }

  // Peers report an endpoint by a hash of its id, which a reader of the log
  // cannot resolve.
  void LogSuspect(const EndpointPause& pause) {
    const EndpointRecord* const endpoint =
        this->catalog.FindByKey(pause.endpoint_key);
    if (endpoint != nullptr) {
      this->options.hooks.log(
          log::Level::kInfo, "endpoint_doubted",
          {.endpoint = endpoint->id, .fields = {{"left_ms", pause.left}}});
    }
  }

  admission::UrgencyReserve MakeUrgencyReserve() {
    admission::UrgencyReserve::Options reserve = this->options.urgency;
    // Not from `random`: placements would differ by how many services there
    // are.
    constexpr std::uint64_t kParts = 1024;
    reserve.first_exemption =
        static_cast<double>(placement::RendezvousWeight(this->attempt_seed,
                                                        this->services.size()) %
                            kParts) /
        kParts;
    return admission::UrgencyReserve(reserve);
  }

  ServiceState& StateOf(const ServiceName& service) {
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
      return found->second;
    }
    return this->services
        .emplace(service,
                 ServiceState{.queue = AdmissionQueue(this->options.admission),
                              .budget = RepeatBudget(
                                  {.share = this->options.repeat_share,
                                   .extra = this->options.repeat_extra,
                                   .window = this->options.repeat_window,
                                   .started_at = this->options.started_at}),
                              .urgency = this->MakeUrgencyReserve(),
                              .length_ratio = forecast::LearnedQuantile({})})
        .first->second;
  }

  // Fills in the route and the service of the request, or returns why there is
  // none.
  Refusal FindRoute(RelayJob& job) {
    if (this->routes == nullptr) {
      return {ResultCode::kNotReady, kRetryStarting};
    }
    if (this->drain_begun != kNever &&
        this->Now() > this->drain_begun + this->options.drain_admission) {
      return {ResultCode::kDraining, kRetryElsewhere};
    }
    job.route =
        this->routes->Find(job.request.host, job.request.message.Path());
    if (job.route == nullptr) {
      return {ResultCode::kUnknownRoute};
    }
    if (Refusal refused = this->customers.Identify(job);
        refused.code != ResultCode::kOk) {
      return refused;
    }
    this->SetService(job, PickService(*job.route, StreamNameOf(job.request)));
    if (!this->EndsBeforeDrain(job)) {
      return {ResultCode::kDraining, kRetryElsewhere};
    }
    return {};
  }

  // Whether the request has its final answer before this process ends, by its
  // own time limit or by the time that such requests usually take.
  bool EndsBeforeDrain(const RelayJob& job) const {
    if (this->drain_ends == kNever) {
      return true;
    }
    return job.arrived + job.TimeLimit() <= this->drain_ends ||
           this->Now() + LikelyTime(job) <= this->drain_ends;
  }

  static Duration LikelyTime(const RelayJob& job) {
    const forecast::ServiceForecast& forecast = job.state->forecast;
    if (job.Engine() != nullptr) {
      return StreamPlacement::LikelyTime(
          job.request.size.value_or(GenerationSize{}),
          job.state->length_ratio.value(), forecast);
    }
    return IsStream(job.route->kind)
               ? job.TimeLimit()
               : FromSeconds(kLongCallFactor * Seconds(forecast.Call()));
  }

  // A stream that is continued goes to the service that its first attempt went
  // to.
  static const std::string& StreamNameOf(const WorkRequest& request) {
    return request.resumed_attempt.empty() ? request.id
                                           : request.resumed_attempt;
  }

  void SetService(RelayJob& job, const ServiceName& service) {
    job.service = service;
    job.traits = this->routes->FindService(service);
    if (this->routes->HasPriorities(service)) {
      job.urgency = this->routes->UrgencyOf(*job.route, job.customer, service);
    }
    job.state = &this->StateOf(service);
  }

  // The request's id does not identify an attempt, as callers may use one id
  // for several attempts.
  std::uint32_t NextAttempt() {
    return static_cast<std::uint32_t>(
        placement::RendezvousWeight(this->attempt_seed, ++this->attempts));
  }

  void AnswerWithoutRelay(const RelayJob& job, Refusal refusal) {
    const http::Response answer = MakeOwnAnswer(
        refusal.code, refusal.retry_after, this->drain_begun != kNever);
    log::Record record{
        .request_name = job.request.id,
        .code = refusal.code,
        .fields = {{"status", answer.status},
                   {"host", job.request.host},
                   {"path", job.request.message.Path()},
                   {"request_key", HexText(job.subjects.request.value)},
                   {"configuration",
                    this->routes ? this->routes->configuration().version : 0}}};
    std::move(refusal.cause.begin(), refusal.cause.end(),
              std::back_inserter(record.fields));
    this->options.hooks.log(log::Level::kWarning, "request_refused",
                            std::move(record));
    if (this->options.hooks.on_refusal) {
      this->options.hooks.on_refusal(refusal.code, job.customer);
    }
    job.responder->SendWhole(answer);
  }

  void Start(const std::shared_ptr<Relay>& relay) {
    this->relays.emplace(relay.get(), relay);
    relay->Begin([this](Relay& finished) { this->OnFinished(finished); });
  }

  void BeginCall(RelayJob job) {
    const auto relay =
        std::make_shared<CallRelay>(this->context, std::move(job));
    this->Start(relay);
    this->PlaceCall(*relay);
  }

  void PlaceCall(CallRelay& call) {
    if (call.TryPlace()) {
      return;
    }
    const ServiceName& service = call.job().service;
    const bool known = !this->catalog.ForService(service).empty();
    this->options.hooks.log(
        log::Level::kWarning, "call_unplaced",
        {.request_name = call.job().request.id,
         .fields = this->context.AvailabilityFields(service)});
    call.Refuse(known ? ResultCode::kOverloaded : ResultCode::kNoEndpoint,
                kRetryNoEndpoint);
  }

  void BeginStream(RelayJob job) {
    this->DetectRetry(job);
    if (job.urgency && !job.is_retry) {
      job.state->urgency.NoteRequest(*job.urgency, this->Now());
    }
    if (job.Engine() != nullptr) {
      this->roles.NoteRequest(job.service,
                              job.request.size.value_or(GenerationSize{}));
    }
    const auto relay =
        std::make_shared<StreamRelay>(this->context, std::move(job));
    this->Start(relay);
    this->takeups.Resolve(relay, [this, relay] {
      if (this->waiting.AnyAheadOf(*relay) || !relay->TryPlace()) {
        this->waiting.Add(relay);
      }
    });
  }

  // A retry of a refused request arrives as a new request. Only its deadline,
  // which is shorter than those of others on the route, shows that it is a
  // retry.
  void DetectRetry(RelayJob& job) {
    if (!job.request.deadline) {
      return;
    }
    Duration& longest = this->longest_deadlines[job.route->name];
    longest = std::max(longest, *job.request.deadline);
    job.spent = longest - *job.request.deadline;
    job.is_retry = job.spent > job.route->objective &&
                   Seconds(job.spent) > kDeadlineSpread * Seconds(longest);
  }

  void OnFinished(Relay& finished) {
    this->waiting.Remove(finished);
    this->customers.OnFinished(finished.job(), finished.result(), this->Now());
    this->relays.erase(&finished);
  }

  void Sweep() {
    const Instant now = this->Now();
    this->load_table.Sweep(now);
    this->health.Sweep(now);
    this->paces.Sweep(now);
    this->quarantine.Sweep();
    this->customers.ledger().Sweep(now);
    this->limits.Sweep(now);
    this->origins.Sweep();
    this->processes_seen.Sweep(this->catalog);
    if (this->catalog.Sweep(now)) {
      this->waiting.PlaceAll();
    }
    if (this->drain_ends != kNever) {
      this->waiting.EndUnless(
          [this](const RelayJob& job) { return this->EndsBeforeDrain(job); });
    }
    for (auto& [service, state] : this->services) {
      this->LogForecastChange(service, state);
    }
    this->timers.Set(now + kSweepInterval, [this] { this->Sweep(); });
  }

  // Logs the forecast of a service's engines when it has changed by more than a
  // quarter since the last log entry.
  void LogForecastChange(const ServiceName& service,
                         ServiceState& state) const {
    const forecast::ForecastDigest figures = state.forecast.Report();
    if (!forecast::Differ(figures, state.forecast_logged,
                          kLoggedChangeFactor)) {
      return;
    }
    state.forecast_logged = figures;
    std::vector<log::Field> fields{{"service", service}};
    for (const auto& [figure, name] : forecast::kFigureNames) {
      const forecast::ReportedValue& reported =
          figures[static_cast<std::size_t>(figure)];
      if (reported.observations > 0) {
        fields.emplace_back(name, reported.value);
      }
    }
    this->options.hooks.log(log::Level::kInfo, "forecast_changed",
                            {.fields = std::move(fields)});
  }

  static std::uint64_t KeyOf(const ServiceName& service) {
    return placement::HashText(service.text);
  }

  // Differs with each start of the process.
  const std::uint64_t attempt_seed = placement::RendezvousWeight(
      placement::HashText(this->options.id),
      static_cast<std::uint64_t>(this->Now().time_since_epoch().count()));
  std::uint64_t attempts = 0;
  std::map<std::string, Duration> longest_deadlines;  // by route
  ServiceName last_reported;  // of the latest forecast report
};

GatewayCore::GatewayCore(Options core_options, RandomSource& random_source)
    : implementation(std::make_unique<Implementation>(std::move(core_options),
                                                      random_source)) {}

GatewayCore::~GatewayCore() = default;

void GatewayCore::Handle(http::Request request, http::ResponderPtr responder) {
  this->implementation->Handle(std::move(request), std::move(responder));
}

bool GatewayCore::SetConfiguration(
    std::shared_ptr<const Configuration> newest) {
  return this->implementation->SetConfiguration(std::move(newest));
}

std::shared_ptr<const Configuration> GatewayCore::configuration() const {
  const auto& routes = this->implementation->routes;
  return routes == nullptr ? nullptr
                           : std::shared_ptr<const Configuration>(
                                 routes, &routes->configuration());
}

bool GatewayCore::Apply(const EndpointChange& change) {
  return this->implementation->Apply(change);
}

bool GatewayCore::Apply(const EndpointSnapshot& snapshot) {
  return this->implementation->Apply(snapshot);
}

EndpointSnapshot GatewayCore::Endpoints(LogOffset since) const {
  return this->implementation->Endpoints(since);
}

LogOffset GatewayCore::endpoints_complete_to() const {
  return this->implementation->catalog.complete_to();
}

LogOffset GatewayCore::endpoints_changed_to() const {
  return this->implementation->catalog.changed_to();
}

void GatewayCore::NoteStoreEra(std::uint64_t era) {
  this->implementation->NoteStoreEra(era);
}

void GatewayCore::NoteStoreLost() {
  this->implementation->catalog.NoteStoreLost();
}

void GatewayCore::NoteStoreBack() {
  this->implementation->NoteStoreBack();
}

void GatewayCore::SetPeerLoad(const std::string& peer, const PeerLoad& load) {
  this->implementation->SetPeerLoad(peer, load);
}

void GatewayCore::SetPeers(std::optional<std::size_t> peers, bool first) {
  this->implementation->SetPeers(peers, first);
}

std::vector<EndpointPause> GatewayCore::OwnPauses() const {
  return this->implementation->OwnPauses();
}

void GatewayCore::SetPause(const EndpointPause& pause) {
  this->implementation->SetPause(pause);
}

PeerLoad GatewayCore::OwnLoad() const {
  return this->implementation->OwnLoad();
}

std::optional<forecast::ForecastReport> GatewayCore::NextForecast() {
  return this->implementation->NextForecast();
}

void GatewayCore::SetPeerForecast(const std::string& peer,
                                  const forecast::ForecastReport& reported) {
  this->implementation->SetPeerForecast(peer, reported);
}

std::vector<retry::CrashRecord> GatewayCore::CollectCrashReports(
    std::size_t max_count,
    std::size_t round) const {
  return this->implementation->quarantine.CollectReports(max_count, round);
}

void GatewayCore::ResendCrashReports() {
  this->implementation->quarantine.ResendReports();
}

void GatewayCore::SetPeerCrash(const retry::CrashRecord& reported) {
  this->implementation->quarantine.Merge(reported);
}

std::vector<quota::QuotaUse> GatewayCore::CollectQuotaReports(
    std::size_t group,
    std::size_t max_count) {
  return this->implementation->customers.ledger().CollectReports(
      group, max_count, this->implementation->Now());
}

void GatewayCore::OnPeerHeartbeat(
    const std::string& peer,
    Incarnation incarnation,
    const std::vector<quota::QuotaUse>& reported) {
  this->implementation->OnPeerHeartbeat(peer, incarnation, reported);
}

void GatewayCore::OnPeerListed(const std::string& peer) {
  this->implementation->OnPeerListed(peer);
}

std::vector<EndpointLimitReport> GatewayCore::CollectLimitReports(
    std::size_t max_count,
    std::size_t round) const {
  return this->implementation->limits.CollectReports(
      max_count, round, this->implementation->Now());
}

void GatewayCore::SetPeerLimit(const EndpointLimitReport& reported) {
  this->implementation->sender.OnPeerLimit(reported);
}

void GatewayCore::OnOriginMessage(const std::string& peer,
                                  const origin::OriginMessage& message) {
  this->implementation->origins.OnMessage(peer, message);
}

std::vector<origin::VersionReport> GatewayCore::VersionReports() const {
  return this->implementation->origins.Reports();
}

void GatewayCore::SetPeerVersions(
    const std::vector<origin::VersionReport>& reports) {
  this->implementation->origins.OnReports(reports);
}

void GatewayCore::NoteStoreRead(Instant asked_at) {
  this->implementation->catalog.NoteStoreRead(asked_at);
}

void GatewayCore::NoteCatalogConfirmed(Instant at) {
  this->implementation->catalog.NoteStoreServed(at,
                                                this->implementation->Now());
  this->implementation->origins.OnCatalogConfirmed(at);
}

void GatewayCore::SetVersionRecord(const origin::VersionRecord& record) {
  this->implementation->origins.OnRecordRead(record);
}

void GatewayCore::NoteVersionRecordsRead() {
  this->implementation->origins.OnRecordsRead();
}

void GatewayCore::OnVersionsRecorded(const origin::VersionRecord& record,
                                     bool written) {
  this->implementation->origins.OnRecordWritten(record, written);
}

std::size_t GatewayCore::stream_origins() const {
  return this->implementation->origins.size();
}

void GatewayCore::BeginDrain(Duration grace) {
  this->implementation->BeginDrain(grace);
}

void GatewayCore::EndUnanswered() {
  this->implementation->EndUnanswered();
}

void GatewayCore::OnTimer() {
  this->implementation->OnTimer();
}

Instant GatewayCore::next_timer() const {
  return this->implementation->timers.next();
}

bool GatewayCore::Ready() const {
  return this->implementation->routes != nullptr &&
         this->implementation->catalog.size() > 0;
}

std::size_t GatewayCore::endpoint_count() const {
  return this->implementation->catalog.size();
}

std::size_t GatewayCore::requests_under_way() const {
  return this->implementation->relays.size();
}

std::size_t GatewayCore::requests_waiting() const {
  return this->implementation->waiting.size();
}

std::size_t GatewayCore::endpoints_limited() const {
  return this->implementation->limits.size();
}

std::vector<retry::CrashRecord> GatewayCore::QuarantinedRequests() const {
  return this->implementation->quarantine.Records();
}

std::size_t GatewayCore::requests_quarantined() const {
  return this->implementation->quarantine.requests();
}

std::size_t GatewayCore::parts_quarantined() const {
  return this->implementation->quarantine.parts();
}

}  // namespace acacialug::gateway
