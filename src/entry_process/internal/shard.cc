#include "entry_process/internal/shard.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "entry/log_once.h"
#include "entry_process/internal/models_page.h"
#include "entry_process/internal/operations_pages.h"
#include "framework/http/turn_end.h"

namespace acacialug::entry_process {
namespace {

std::int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

http::Response JsonPage(std::string body) {
  return {.headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

once::WallMilliseconds WallClock() {
  return std::chrono::duration_cast<once::WallMilliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

trace::StepKind StepOfProgress(entry::Progress progress) {
  switch (progress) {
    case entry::Progress::kQueued:
      return trace::StepKind::kQueued;
    case entry::Progress::kDispatched:
      return trace::StepKind::kDispatched;
    case entry::Progress::kEndpointLost:
      break;
  }
  return trace::StepKind::kEndpointLost;
}

// An agent takes a second session of one entry as a restart of that entry, and
// ends the first session with all that runs in it. Therefore each shard is a
// separate entry to the agents.
entry::EntryOptions CoreOptions(const Shard::Options& options,
                                RandomSource& random) {
  entry::EntryOptions core = options.process.core;
  core.process = core.id;
  core.process_incarnation = core.incarnation;
  core.id.text += "/" + std::to_string(options.index);
  core.incarnation = random.NextIncarnation();
  core.shards = static_cast<std::uint32_t>(options.process.shards);
  core.on_progress = [&traces = options.state.board(options.index).traces()](
                         const entry::ProgressNote& note) {
    traces.Add(
        note.request,
        {.kind = StepOfProgress(note.progress), .endpoint = note.endpoint},
        note.at);
  };
  // Also applies without a platform log: keys are then refused as not run, and
  // only tickets run. Accepting a key without a claim could run it on two
  // entries.
  core.make_once = [&random, retention = options.process.log_retention](
                       const entry::EntryOptions& entry_options) {
    return std::make_unique<entry::LogOnce>(
        entry::LogOnce::Options{
            .claims = {.commit_interval = entry_options.claim_commit_interval},
            .log_retention = retention,
            .wall_clock = WallClock},
        random);
  };
  return core;
}

}  // namespace

Shard::Shard(const Options& shard_options)
    : options(shard_options),
      board(shard_options.state.board(shard_options.index)),
      random(shard_options.seed),
      core(CoreOptions(shard_options, this->random), this->random),
      links({.channels = shard_options.process.channels,
             .connect = shard_options.connect,
             .on_connected =
                 [this](const EndpointId& endpoint) {
                   this->OnAgentConnected(endpoint);
                 },
             .on_closed =
                 [this](const EndpointId& endpoint, const Error& error) {
                   this->OnAgentClosed(endpoint, error);
                 },
             .on_message =
                 [this](const EndpointId& endpoint,
                        const protocol::AgentToEntry& message) {
                   this->OnAgentMessage(endpoint, message);
                 }}),
      claims(shard_options.process.make_log ? shard_options.process.make_log()
                                            : nullptr,
             {.on_appended =
                  [this](const entry::ClaimsAppended& appended) {
                    this->Feed([&](Instant now) {
                      this->core.OnClaimsAppended(appended, now);
                    });
                  },
              .on_read =
                  [this](const entry::ClaimsRead& read) {
                    this->Feed([&](Instant now) {
                      this->core.OnClaimsRead(read, now);
                    });
                  }}) {
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, &this->context,
                   [this] { this->OnTimer(); });
  this->core.OnLiveEntries(this->options.process.live_entries, MonotonicNow());
  if (auto in_force = this->options.state.manifest()) {
    this->SetManifest(std::move(in_force));
  }
  this->ArmTimer();
}

Shard::~Shard() {
  // The hooks hold this shard, and a responder may outlive it.
  for (auto& [id, live] : this->live_requests) {
    live.responder->SetOnGone({});
  }
}

void Shard::SetManifest(std::shared_ptr<const manifest::Manifest> newest) {
  this->manifest = newest;
  this->Feed(
      [&](Instant now) { this->core.OnManifest(std::move(newest), now); });
}

void Shard::SetLeavingHosts(const std::set<HostId>& hosts) {
  this->Feed([&](Instant now) { this->core.OnLeavingHosts(hosts, now); });
}

void Shard::BeginDrain() {
  this->Feed([this](Instant now) { this->core.BeginDrain(now); });
}

void Shard::OnRenewed(const std::vector<heartbeat::RenewalReport>& renewed) {
  this->Feed([&](Instant now) {
    for (const auto& [shard, endpoint, renewal] : renewed) {
      if (renewal.load) {
        this->board.SetLoad(endpoint, *renewal.load);
      }
      this->core.OnHeartbeat(endpoint, renewal, now);
    }
  });
}

void Shard::SetRenewInterval(Duration interval) {
  this->core.SetRenewInterval(interval);
}

void Shard::Handle(http::Request request, http::ResponderPtr responder) {
  IncomingRequest incoming{.id = this->random.NextRequestId(),
                           .responder = std::move(responder)};
  const std::string path(request.Path());
  Result<CallerHeaders> headers = ParseCallerHeaders(request.headers);
  incoming.identity = IdentityHeaders(
      incoming.id, headers.ok() ? headers->client_request_id : std::string());
  if (!headers.ok()) {
    this->Refuse(incoming, path, headers.error());
    return;
  }
  incoming.headers = std::move(headers.value());
  Result<CallerRequest> content =
      ReadCallerRequest(std::move(request), incoming.id);
  if (!content.ok()) {
    this->Refuse(incoming, path, content.error());
    return;
  }
  std::visit(
      [&](auto& kind) { this->Take(std::move(incoming), std::move(kind)); },
      content.value());
}

void Shard::Refuse(const IncomingRequest& incoming,
                   std::string_view path,
                   const Error& error) {
  this->options.measures.OnBadRequest(error.result_code());
  incoming.responder->SendWhole(RenderRefusal(error, path, incoming.identity));
}

void Shard::Take(IncomingRequest incoming, RequestedGeneration generation) {
  ParsedGeneration& parsed = generation.parsed;
  const manifest::Service* service =
      this->manifest == nullptr
          ? nullptr
          : this->manifest->FindServiceOfModel(parsed.generation.model);
  if (incoming.headers.caller.empty()) {
    incoming.headers.caller = CallerName(parsed.user);
  }
  if (service != nullptr && parsed.generation.max_tokens == 0) {
    parsed.generation.max_tokens = service->default_max_tokens;
  }
  std::unique_ptr<GenerationAnswer> answer = this->MakeAnswer(incoming, parsed);
  entry::GenerationArrived arrived{
      .request = incoming.id,
      .caller = incoming.headers.caller,
      .latency_class = incoming.headers.latency_class,
      .generation = std::move(parsed.generation),
      .prompt_text = std::move(parsed.prompt_text),
      .deadline = incoming.headers.deadline};
  this->Begin(incoming, service, trace::RequestKind::kGeneration).generation =
      std::move(answer);
  this->Feed([&](Instant now) { this->core.OnGeneration(arrived, now); });
}

std::unique_ptr<GenerationAnswer> Shard::MakeAnswer(
    const IncomingRequest& incoming,
    const ParsedGeneration& parsed) {
  return std::make_unique<GenerationAnswer>(
      incoming.responder,
      GenerationAnswer::Options{
          .renderer = {.api = parsed.generation.api,
                       .request = incoming.id,
                       .model = parsed.generation.model,
                       .created = UnixSeconds(),
                       .include_usage = parsed.include_usage},
          .stream = parsed.stream,
          .identity = incoming.identity,
          .limits = this->options.process.answers,
          .on_delivered = [this, id = incoming.id](std::uint64_t index) {
            this->deliveries.push_back({.request = id, .index = index});
            this->ScheduleEndTurn();
          }});
}

void Shard::Take(IncomingRequest incoming, RequestedCall call) {
  const manifest::Service* service =
      this->manifest == nullptr ? nullptr
                                : this->manifest->FindService(call.service);
  entry::CallArrived arrived{
      .request = incoming.id,
      .caller = incoming.headers.caller,
      .latency_class = incoming.headers.latency_class,
      .service = std::move(call.service),
      .call = std::move(call.call),
      .idempotency_key = incoming.headers.idempotency_key,
      .ticket = incoming.headers.ticket,
      .deadline = incoming.headers.deadline};
  this->Begin(incoming, service, trace::RequestKind::kCall);
  this->Feed([&](Instant now) { this->core.OnCall(arrived, now); });
}

void Shard::Take(IncomingRequest incoming, const RequestedPage& page) {
  Result<http::Response> response = this->RenderPage(page);
  if (!response.ok()) {
    this->Refuse(incoming, {}, response.error());
    return;
  }
  http::Headers& headers = response.value().headers;
  headers.insert(headers.end(), incoming.identity.begin(),
                 incoming.identity.end());
  incoming.responder->SendWhole(response.value());
}

Result<http::Response> Shard::RenderPage(const RequestedPage& page) {
  if (page.route == Route::kHealth) {
    return RenderHealth();
  }
  if (page.route == Route::kReady) {
    return RenderReadiness(this->options.state.CheckReady(MonotonicNow()));
  }
  if (this->manifest == nullptr) {
    return Error(ResultCode::kNotReady);
  }
  if (page.route == Route::kTicket) {
    return this->IssueTicket(ServiceName(page.name));
  }
  if (page.route == Route::kModels) {
    return JsonPage(RenderModels(*this->manifest));
  }
  Result<std::string> body = RenderModel(*this->manifest, page.name);
  if (!body.ok()) {
    return body.error();
  }
  return JsonPage(std::move(body.value()));
}

Result<http::Response> Shard::IssueTicket(const ServiceName& service) {
  Result<std::string> ticket =
      this->core.IssueTicket(service, WallClock(), MonotonicNow());
  this->Pump();
  if (!ticket.ok()) {
    return ticket.error();
  }
  return JsonPage(
      nlohmann::json{{"service", service.text}, {"ticket", ticket.value()}}
          .dump());
}

Shard::LiveRequest& Shard::Begin(IncomingRequest& incoming,
                                 const manifest::Service* service,
                                 trace::RequestKind kind) {
  const Instant now = MonotonicNow();
  LiveRequest& live = this->live_requests[incoming.id];
  live.responder = incoming.responder;
  live.identity = incoming.identity;
  live.trace =
      BeginTrace(this->manifest.get(), service, incoming.headers.caller,
                 incoming.headers.latency_class, now);
  this->board.traces().Begin({.request = incoming.id,
                              .kind = kind,
                              .service = live.trace.service,
                              .latency_class = live.trace.latency_class},
                             now);
  live.responder->SetOnGone([this, id = incoming.id] { this->OnGone(id); });
  return live;
}

void Shard::OnGone(const RequestId& id) {
  const auto found = this->live_requests.find(id);
  if (found == this->live_requests.end()) {
    return;
  }
  const RequestId gone = id;  // the hook that holds it ends with the request
  this->options.measures.OnCallerGone(found->second.trace);
  this->live_requests.erase(found);
  this->Feed([&](Instant now) { this->core.OnCallerGone(gone, now); });
  this->board.traces().End(gone, trace::TraceOutcome::kCallerGone,
                           ResultCode::kCancelled, MonotonicNow());
}

// An action may cause another input of the core (a caller is found gone while
// it is answered); the actions of that input follow those already taken, in
// order.
void Shard::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  for (std::vector<entry::EntryAction> actions = this->core.TakeActions();
       !actions.empty(); actions = this->core.TakeActions()) {
    for (entry::EntryAction& action : actions) {
      std::visit([this](auto& kind) { this->Do(kind); }, action);
    }
  }
  this->pumping = false;
  this->board.SetRequests(this->core.alive_requests(), this->core.drained());
  this->board.NoteRunning(MonotonicNow());
  this->ArmTimer();
}

// The core's next timer changes with every frame. The event loop's timer is set
// again only when the next timer becomes earlier; otherwise it fires early and
// is armed again.
void Shard::ArmTimer() {
  const Instant next = this->core.next_timer();
  if (next >= this->armed_for) {
    return;
  }
  this->armed_for = next;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(next - MonotonicNow(), Duration::zero()));
  constexpr std::chrono::milliseconds kLongestWait = 1h;
  this->timer.start(std::min(wait, kLongestWait));
}

void Shard::OnTimer() {
  this->armed_for = kNever;
  const Instant now = MonotonicNow();
  if (now >= this->core.next_timer()) {
    this->core.OnTimer(now);
  }
  this->Pump();
}

void Shard::MarkDirty(const RequestId& id, LiveRequest& live) {
  if (!live.dirty) {
    live.dirty = true;
    this->dirty_requests.push_back(id);
    this->ScheduleEndTurn();
  }
}

void Shard::ScheduleEndTurn() {
  if (!this->end_turn_scheduled) {
    this->end_turn_scheduled = true;
    http::TurnEnd::OfThisThread().Run(this->context,
                                      [this] { this->EndTurn(); });
  }
}

void Shard::EndTurn() {
  this->end_turn_scheduled = false;
  this->FlushDirty();
  // Reported only now, outside of the answers: the core's next action may end
  // the very answer that reported the delivery.
  this->Feed([this](Instant now) {
    for (const Delivery& delivery : std::exchange(this->deliveries, {})) {
      this->core.OnDelivered(delivery.request, delivery.index, now);
    }
  });
}

void Shard::FlushDirty() {
  for (const RequestId& id : std::exchange(this->dirty_requests, {})) {
    const auto found = this->live_requests.find(id);
    if (found != this->live_requests.end()) {
      found->second.dirty = false;
      found->second.generation->Flush();
    }
  }
}

}  // namespace acacialug::entry_process
