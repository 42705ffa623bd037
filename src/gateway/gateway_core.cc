#include "gateway/gateway_core.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "gateway/internal/call_relay.h"
#include "gateway/internal/refusal.h"
#include "gateway/internal/relay_context.h"
#include "gateway/internal/stream_relay.h"

namespace acacialug::gateway {
namespace {

// What a caller is told while this process knows no configuration, or leaves:
// others serve it at once.
constexpr Duration kRetryElsewhere = 50ms;
// A service without an endpoint has none for some heartbeats at least.
constexpr Duration kRetryNoEndpoint = 500ms;
// The queue is looked at so often even without news: peers' releases are heard
// of by their loads, which get lost.
constexpr Duration kQueueInterval = 40ms;
// One that was computed for and lost its place waits so long for another.
constexpr Duration kResumePatience = 800ms;
constexpr Duration kRolesInterval = 500ms;
// From the decision to switch an endpoint to the order: peers hear meanwhile
// that it takes no work. Else each of them finds out by a refusal, and those
// used up the repeat budget of a pool of 41.
constexpr Duration kPauseSpreads = 200ms;
constexpr Duration kSweepInterval = 200ms;

}  // namespace

class GatewayCore::Implementation {
 public:
  Implementation(Options core_options, RandomSource& random_source)
      : options(std::move(core_options)),
        random(random_source),
        book(this->options.hooks.on_load_changed),
        alarms(this->options.hooks.wake_at),
        streams(this->options.placement, this->book, this->health),
        calls(this->book, this->health),
        context{
            .hooks = this->options.hooks,
            .dialect = this->options.dialect,
            .domain = this->options.domain,
            .catalog = this->catalog,
            .health = this->health,
            .book = this->book,
            .streams = this->streams,
            .calls = this->calls,
            .alarms = this->alarms,
            .random = this->random,
            .processes = [this] { return this->peers + 1; },
            .closing = [this] { return this->drain_begun != kNever; },
            .on_unplaced =
                [this](StreamRelay& relay) { this->OnUnplaced(relay); },
            .on_room =
                [this](const ServiceName& service) { this->OnRoom(service); }} {
    this->Sweep();
    this->WatchRoles();
  }

  void Handle(http::Request request, http::ResponderPtr responder) {
    const Instant now = this->Now();
    RelayJob job{
        .request = this->options.dialect.read_request(std::move(request)),
        .responder = std::move(responder),
        .routes = this->routes,
        .arrived = now};
    if (const ResultCode refused = this->FindWay(job);
        refused != ResultCode::kOk) {
      this->AnswerWithoutRelay(job, refused);
      return;
    }
    job.desk->budget.NoteRequest(now);
    if (job.traits != nullptr && job.traits->engine.has_value()) {
      this->BeginStream(std::move(job));
    } else {
      this->BeginCall(std::move(job));
    }
  }

  bool SetConfiguration(std::shared_ptr<const Configuration> newest) {
    if (this->routes != nullptr &&
        newest->offset <= this->routes->configuration().offset) {
      return false;
    }
    this->options.hooks.note(
        log::Level::kInfo, "configuration_taken",
        {.fields = {{"version", newest->version},
                    {"offset", newest->offset},
                    {"routes", newest->routes.size()},
                    {"services", newest->services.size()}}});
    this->routes = std::make_shared<const RouteTable>(std::move(newest));
    return true;
  }

  template <typename News>
  bool Apply(const News& news) {
    const bool changed = this->catalog.Apply(news, this->Now());
    if (changed) {
      this->PumpAll();
    }
    return changed;
  }

  EndpointSnapshot Endpoints() const {
    return this->catalog.Snapshot(this->Now());
  }

  void NoteStoreBack() { this->catalog.NoteStoreBack(this->Now()); }

  void SetPeerLoad(const std::string& peer, const PeerLoad& load) {
    this->book.SetPeer(peer, load, this->Now());
    this->PumpAll();
  }

  std::vector<EndpointPause> OwnPauses() const {
    std::vector<EndpointPause> pauses;
    for (const auto& [service, desk] : this->desks) {
      const auto more = desk.planner.Pauses(this->Now());
      pauses.insert(pauses.end(), more.begin(), more.end());
    }
    return pauses;
  }

  void SetPause(const EndpointPause& pause) {
    this->health.NotePause(pause.endpoint_key, this->Now() + pause.left);
  }

  void SetPeers(std::size_t count, bool first) {
    this->peers = count;
    this->turn.SetFirst(first, this->Now());
  }

  void BeginDrain() {
    this->drain_begun = this->Now();
    this->turn.SetFirst(false, this->Now());
  }

  void OnTimer() {
    this->alarms.Ring(this->Now());
    this->PumpRooms();
  }

  std::size_t waiting() const {
    std::size_t sum = 0;
    for (const auto& [service, desk] : this->desks) {
      sum += desk.queue.size();
    }
    return sum;
  }

  Options options;
  RandomSource& random;
  EndpointCatalog catalog;
  EndpointHealth health;
  LoadBook book;
  AlarmClock alarms;
  StreamPlacement streams;
  CallPlacement calls;
  std::shared_ptr<const RouteTable> routes;
  std::map<ServiceName, ServiceDesk> desks;
  std::unordered_map<const Relay*, std::shared_ptr<Relay>> relays;
  std::unordered_map<TicketId, std::shared_ptr<StreamRelay>> waiting_relays;
  std::size_t peers = 0;
  Instant drain_begun = kNever;

 private:
  Instant Now() const { return this->options.hooks.now(); }

  ServiceDesk& DeskOf(const ServiceName& service) {
    const auto found = this->desks.find(service);
    if (found != this->desks.end()) {
      return found->second;
    }
    return this->desks
        .emplace(service,
                 ServiceDesk{.queue = AdmissionQueue(this->options.admission),
                             .budget = RepeatBudget(
                                 {.share = this->options.repeat_share,
                                  .extra = this->options.repeat_extra,
                                  .window = this->options.repeat_window}),
                             .planner = RolePlanner({})})
        .first->second;
  }

  // Fills in where the request goes; or why it goes nowhere.
  ResultCode FindWay(RelayJob& job) {
    if (this->routes == nullptr) {
      return ResultCode::kNotReady;
    }
    if (this->drain_begun != kNever &&
        this->Now() > this->drain_begun + this->options.drain_admission) {
      return ResultCode::kDraining;
    }
    job.route =
        this->routes->Find(job.request.host, job.request.message.Path());
    if (job.route == nullptr) {
      return ResultCode::kUnknownRoute;
    }
    job.service = PickService(*job.route, job.request.id);
    job.traits = this->routes->FindService(job.service);
    job.desk = &this->DeskOf(job.service);
    return ResultCode::kOk;
  }

  void AnswerWithoutRelay(const RelayJob& job, ResultCode code) {
    const http::Response answer =
        MakeOwnAnswer(code, kRetryElsewhere, this->drain_begun != kNever);
    this->options.hooks.note(
        log::Level::kWarning, "request_refused",
        {.request_name = job.request.id,
         .code = code,
         .fields = {
             {"status", answer.status},
             {"host", job.request.host},
             {"path", job.request.message.Path()},
             {"configuration",
              this->routes ? this->routes->configuration().version : 0}}});
    job.responder->SendWhole(answer);
  }

  void Start(const std::shared_ptr<Relay>& relay) {
    this->relays.emplace(relay.get(), relay);
    relay->Begin([this](Relay& over) { this->OnOver(over); });
  }

  void BeginCall(RelayJob job) {
    const auto relay =
        std::make_shared<CallRelay>(this->context, std::move(job));
    this->Start(relay);
    if (!relay->TryPlace()) {
      const bool known = !this->catalog.Of(relay->job().service).empty();
      relay->Refuse(known ? ResultCode::kOverloaded : ResultCode::kNoEndpoint,
                    kRetryNoEndpoint);
    }
    this->PumpRooms();
  }

  void BeginStream(RelayJob job) {
    job.spent = this->SpentBefore(job);
    job.desk->planner.NoteRequest(job.request.size.value_or(GenerationSize{}));
    const auto relay =
        std::make_shared<StreamRelay>(this->context, std::move(job));
    this->Start(relay);
    if (relay->job().desk->queue.size() > 0 || !relay->TryPlace()) {
      this->Queue(relay, /*was_admitted=*/false);
    }
    this->PumpRooms();
  }

  // A caller that was refused comes back as a new request; only its deadline,
  // shorter than that of others on the route, tells that it is late.
  Duration SpentBefore(const RelayJob& job) {
    if (!job.request.deadline) {
      return Duration::zero();
    }
    Duration& longest = this->longest_deadlines[job.route->name];
    longest = std::max(longest, *job.request.deadline);
    return longest - *job.request.deadline;
  }

  void OnUnplaced(StreamRelay& relay) {
    this->Queue(std::static_pointer_cast<StreamRelay>(relay.shared_from_this()),
                this->admitted.contains(&relay));
  }

  // Lets it wait, or turns it away. One that was let in once stays.
  void Queue(const std::shared_ptr<StreamRelay>& relay, bool was_admitted) {
    AdmissionQueue& queue = relay->job().desk->queue;
    const AdmissionQueue::Ticket ticket = this->TicketOf(*relay);
    AdmissionQueue::Verdict verdict = queue.Ask(ticket);
    if (was_admitted || ticket.rank == TicketRank::kResumed) {
      verdict.admitted = true;
    }
    if (!was_admitted) {
      this->NoteVerdict(*relay, ticket, verdict);
    }
    if (!verdict.admitted) {
      relay->Refuse(ResultCode::kDeadlineUnreachable,
                    queue.NextReturn(ticket.kv_tokens, relay->TimeLeft(),
                                     this->Now(), this->random));
      return;
    }
    this->admitted.insert(relay.get());
    queue.Push(ticket);
    this->waiting_relays.emplace(ticket.id, relay);
    this->WatchQueues();
  }

  void NoteVerdict(const StreamRelay& relay,
                   const AdmissionQueue::Ticket& ticket,
                   const AdmissionQueue::Verdict& verdict) {
    const RelayJob& job = relay.job();
    const double fill = this->streams.PoolFill(*job.traits->engine,
                                               this->catalog.Of(job.service));
    this->options.hooks.note(
        verdict.admitted ? log::Level::kInfo : log::Level::kWarning,
        verdict.admitted ? "stream_waits" : "stream_turned_away",
        {.request_name = job.request.id,
         .fields = {{"service", job.service},
                    {"rank", NameOf(kTicketRankNames, ticket.rank)},
                    {"waiting", job.desk->queue.size()},
                    {"waiting_tokens", job.desk->queue.waiting_tokens()},
                    {"pool_fill", fill},
                    {"expected_wait_ms", verdict.expected_wait},
                    {"age_ms", relay.Age()},
                    {"peers", this->book.peers()}}});
  }

  AdmissionQueue::Ticket TicketOf(const StreamRelay& relay) {
    const RelayJob& job = relay.job();
    const bool late = job.spent >= job.route->objective;
    AdmissionQueue::Ticket ticket{
        .id = ++this->last_ticket,
        .priority = job.route->priority,
        .rank = late ? TicketRank::kLate : TicketRank::kOnTime,
        .kv_tokens = relay.kv_tokens(),
        .arrived = job.arrived};
    if (relay.resumed()) {
      ticket.rank = TicketRank::kResumed;
      ticket.gives_up_at = this->Now() + kResumePatience;
    }
    return ticket;
  }

  void OnOver(Relay& over) {
    for (auto at = this->waiting_relays.begin();
         at != this->waiting_relays.end(); ++at) {
      if (at->second.get() == &over) {
        over.job().desk->queue.Remove(at->first);
        this->waiting_relays.erase(at);
        break;
      }
    }
    this->admitted.erase(&over);
    const RelayOutcome& result = over.result();
    if (over.job().traits != nullptr && over.job().traits->engine &&
        result.end == RelayEnd::kServed && result.events > 0) {
      over.job().desk->planner.NoteStream(
          std::uint64_t{result.events} *
              over.job().traits->engine->tokens_per_event,
          result.whole - result.first_byte);
    }
    this->relays.erase(&over);
  }

  // Gives what became free to those who wait. Not from within a relay: it may
  // be in the middle of its own change.
  void PumpRooms() {
    if (this->pumping) {
      return;
    }
    this->pumping = true;
    while (!this->rooms.empty()) {
      const ServiceName service = *this->rooms.begin();
      this->rooms.erase(this->rooms.begin());
      this->Pump(service);
    }
    this->pumping = false;
  }

  // Pumps soon: what is free now may be taken by the one who frees it.
  void OnRoom(const ServiceName& service) {
    if (this->DeskOf(service).queue.size() > 0 &&
        this->rooms.insert(service).second) {
      this->alarms.Set(this->Now(), [this] { this->PumpRooms(); });
    }
  }

  void PumpAll() {
    for (const auto& [service, desk] : this->desks) {
      if (desk.queue.size() > 0) {
        this->rooms.insert(service);
      }
    }
    this->PumpRooms();
  }

  void Pump(const ServiceName& service) {
    AdmissionQueue& queue = this->DeskOf(service).queue;
    for (const TicketId ticket : queue.GivenUp(this->Now())) {
      const auto relay = this->waiting_relays.at(ticket);
      relay->GiveUpWaiting();
    }
    while (const AdmissionQueue::Ticket* const front = queue.Front()) {
      const TicketId ticket = front->id;
      const auto relay = this->waiting_relays.at(ticket);
      if (!relay->TryPlace()) {
        return;
      }
      queue.Remove(ticket);
      this->waiting_relays.erase(ticket);
    }
  }

  void WatchQueues() {
    if (this->queue_alarm != 0) {
      return;
    }
    this->queue_alarm = this->alarms.Set(this->Now() + kQueueInterval, [this] {
      this->queue_alarm = 0;
      this->PumpAll();
      if (!this->waiting_relays.empty()) {
        this->WatchQueues();
      }
    });
  }

  void Sweep() {
    const Instant now = this->Now();
    this->book.Sweep(now);
    if (this->catalog.Sweep(now)) {
      this->PumpAll();
    }
    this->alarms.Set(now + kSweepInterval, [this] { this->Sweep(); });
  }

  // Roles are looked at each second, by the process whose turn it is.
  void WatchRoles() {
    this->alarms.Set(this->Now() + kRolesInterval, [this] {
      this->WatchRoles();
      this->ClaimIfNeeded();
    });
  }

  void ClaimIfNeeded() {
    if (!this->options.hooks.claim_turn || this->routes == nullptr ||
        !this->turn.MayClaim(this->Now()) || this->PlanRoles().empty()) {
      return;
    }
    this->turn.NoteClaiming(this->Now());
    this->options.hooks.claim_turn([this](std::optional<TurnClaim> claim) {
      const std::optional<std::uint64_t> fence =
          this->turn.OnClaim(claim, this->Now());
      if (fence) {
        this->GiveOrders(*fence);
      }
    });
  }

  struct PlannedChange {
    ServiceName service;
    RoleChange change;
  };

  std::vector<PlannedChange> PlanRoles() {
    std::vector<PlannedChange> planned;
    for (auto& [service, desk] : this->desks) {
      const ServiceTraits* const traits = this->routes->FindService(service);
      if (traits == nullptr || !traits->engine) {
        continue;
      }
      for (RoleChange& change :
           desk.planner.Plan(*traits->engine, this->catalog.Of(service),
                             this->book, this->Now())) {
        planned.push_back({.service = service, .change = std::move(change)});
      }
    }
    return planned;
  }

  void GiveOrders(std::uint64_t fence) {
    for (const PlannedChange& planned : this->PlanRoles()) {
      const ServiceTraits* const traits =
          this->routes->FindService(planned.service);
      // Also if the order is lost: it may be carried out late.
      this->DeskOf(planned.service)
          .planner.NoteOrdered(planned.change.endpoint.id, *traits->engine,
                               this->Now());
      for (const EndpointPause& pause : this->OwnPauses()) {
        this->SetPause(pause);
      }
      this->options.hooks.on_load_changed();
      this->alarms.Set(this->Now() + kPauseSpreads,
                       [this, change = planned.change, fence] {
                         this->GiveOrder(change, fence);
                       });
    }
  }

  void GiveOrder(const RoleChange& change, std::uint64_t fence) {
    this->options.hooks.send(
        change.endpoint.address,
        this->options.dialect.write_report(change.endpoint),
        {.on_end =
             [this, change, fence](const std::string& body) {
               if (const auto accepted =
                       this->options.dialect.read_accepted_orders(body)) {
                 this->SendOrder(change, fence, *accepted);
               }
             },
         .on_error = [](const Error&, bool) {}});
  }

  void SendOrder(const RoleChange& change,
                 std::uint64_t fence,
                 std::uint64_t accepted) {
    const auto note = [this, change, fence](std::string result) {
      this->options.hooks.note(
          log::Level::kInfo, "role_ordered",
          {.endpoint = change.endpoint.id,
           .fields = {{"role", NameOf(kEndpointRoleNames, change.role)},
                      {"fence", fence},
                      {"result", std::move(result)}}});
    };
    auto status = std::make_shared<int>(0);
    this->options.hooks.send(
        change.endpoint.address,
        this->options.dialect.write_role_order(
            change.endpoint, change.role, this->options.id, fence, accepted),
        {.on_head = [status](int answered,
                             const http::Headers&) { *status = answered; },
         .on_end = [status, note](
                       const std::string&) { note(std::to_string(*status)); },
         .on_error = [note](const Error& error,
                            bool) { note("lost: " + error.detail); }});
  }

  RelayContext context;
  OrderTurn turn{{}};
  std::set<const Relay*> admitted;  // that were let in to wait
  std::map<std::string, Duration> longest_deadlines;  // by route
  std::set<ServiceName> rooms;
  AlarmId queue_alarm = 0;
  TicketId last_ticket = 0;
  bool pumping = false;
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

EndpointSnapshot GatewayCore::Endpoints() const {
  return this->implementation->Endpoints();
}

LogOffset GatewayCore::endpoints_complete_to() const {
  return this->implementation->catalog.complete_to();
}

LogOffset GatewayCore::endpoints_changed_to() const {
  return this->implementation->catalog.changed_to();
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

void GatewayCore::SetPeers(std::size_t peers, bool first) {
  this->implementation->SetPeers(peers, first);
}

std::vector<EndpointPause> GatewayCore::OwnPauses() const {
  return this->implementation->OwnPauses();
}

void GatewayCore::SetPause(const EndpointPause& pause) {
  this->implementation->SetPause(pause);
}

PeerLoad GatewayCore::OwnLoad() const {
  return this->implementation->book.Own();
}

void GatewayCore::BeginDrain() {
  this->implementation->BeginDrain();
}

void GatewayCore::OnTimer() {
  this->implementation->OnTimer();
}

Instant GatewayCore::next_timer() const {
  return this->implementation->alarms.next();
}

bool GatewayCore::Ready() const {
  return this->implementation->routes != nullptr &&
         this->implementation->catalog.size() > 0;
}

std::size_t GatewayCore::requests_under_way() const {
  return this->implementation->relays.size();
}

std::size_t GatewayCore::requests_waiting() const {
  return this->implementation->waiting();
}

}  // namespace acacialug::gateway
