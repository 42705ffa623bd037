#include "scenario/internal/entry_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "entry/log_once.h"
#include "protocol/message_codec.h"
#include "scenario/internal/callers.h"
#include "scenario/internal/checker.h"
#include "scenario/internal/network.h"

namespace acacialug::scenario {
namespace {

constexpr char kClaimsStream[] = "claims";

entry::ClaimsRead ReadOf(entry::LogTicket ticket,
                         const Result<cluster::ILog::Read>& result) {
  entry::ClaimsRead read{.ticket = ticket, .reachable = result.ok()};
  if (result.ok()) {
    read.first_kept = result->first_kept;
    read.next = result->next;
    for (const cluster::ILog::Record& record : result->records) {
      read.records.push_back(
          {.offset = record.offset, .payload = record.payload});
    }
  }
  return read;
}

entry::AppendOutcome OutcomeOf(const Result<LogOffset>& result) {
  if (result.ok()) {
    return entry::AppendOutcome::kAppended;
  }
  return result.error().result_code() == ResultCode::kPlatformUnavailable
             ? entry::AppendOutcome::kNotAppended
             : entry::AppendOutcome::kUnresolved;
}

}  // namespace

EntryHost::EntryHost(std::string entry_name,
                     std::uint64_t seed,
                     const SimulationParts& simulation_parts)
    : Process(std::move(entry_name)),
      parts(simulation_parts),
      random(seed),
      start(this->random.NextIncarnation()),
      manifests({.author = this->Name(),
                 .retention = simulation_parts.options.retention},
                seed,
                simulation_parts.queue,
                simulation_parts.log,
                this->FeedHooks()),
      heartbeat_random(seed + 1),
      heartbeats({.entry = EntryId(this->Name()), .incarnation = this->start},
                 this->heartbeat_random),
      decisions(
          std::make_unique<entry::EntryCore>(this->Options(), this->random)) {}

entry::EntryOptions EntryHost::Options() {
  entry::EntryOptions options{.id = EntryId(this->Name()),
                              .incarnation = this->start,
                              .domain = FailureDomain("a"),
                              .rules = this->parts.options.rules.entry};
  options.make_once = [this](const entry::EntryOptions&) {
    return std::make_unique<entry::LogOnce>(
        entry::LogOnce::Options{
            .wall_clock =
                [this] { return WallClock(this->parts.queue.now()); }},
        this->random);
  };
  return options;
}

ManifestFeed::Hooks EntryHost::FeedHooks() {
  return {.later = [this] { return this->Later(); },
          .put_in_force =
              [this](const configuration::AcceptedManifest& accepted) {
                this->parts.checker.OnManifest(this->Name(), this->start.value,
                                               *accepted.manifest);
                this->decisions->OnManifest(accepted.manifest,
                                            this->parts.queue.now());
                this->heartbeats.OnManifest(accepted.manifest->offset,
                                            this->parts.queue.now());
              },
          .query_peer = this->parts.peer_manifest};
}

void EntryHost::Start() {
  this->Feed([this] {
    const Instant now = this->parts.queue.now();
    this->manifests.follower().Start(now);
    this->decisions->OnLiveEntries(this->parts.options.entries, now);
  });
}

void EntryHost::OnConnected(const EndpointId& endpoint) {
  this->Feed([this, endpoint] {
    this->decisions->OnEndpointConnected(endpoint, this->parts.queue.now());
  });
}

void EntryHost::OnClosed(const EndpointId& endpoint) {
  this->Feed([this, endpoint] {
    this->heartbeats.OnClosed(0, endpoint);
    this->decisions->OnEndpointClosed(endpoint, this->parts.queue.now());
  });
}

void EntryHost::OnMessage(const EndpointId& endpoint,
                          const protocol::AgentToEntry& message) {
  this->Feed([this, endpoint, message] {
    const Instant now = this->parts.queue.now();
    this->parts.checker.OnReply(this->start, endpoint, message);
    if (const auto* welcome = std::get_if<protocol::Welcome>(&message)) {
      this->manifests.follower().OnPeerOffset(welcome->manifest, now);
      this->heartbeats.OnOpened(
          {.endpoint = endpoint,
           .name = {.agent = welcome->incarnation, .number = welcome->session},
           .lease = welcome->lease,
           .by_datagram = welcome->heartbeat_port != 0},
          now);
    } else if (const auto* renewed = std::get_if<protocol::Renewed>(&message)) {
      this->manifests.follower().OnPeerOffset(renewed->manifest, now);
    }
    this->decisions->OnMessage(endpoint, message, now);
  });
}

void EntryHost::OnHeartbeatAnswer(const protocol::HeartbeatAnswer& answer) {
  this->Feed([this, answer] {
    const Instant now = this->parts.queue.now();
    const std::size_t bytes = protocol::Encode(answer).size();
    if (this->heartbeats.OnAnswer(answer, bytes, now)) {
      this->manifests.follower().OnPeerOffset(answer.manifest, now);
    }
  });
}

void EntryHost::PumpHeartbeats() {
  for (const auto& [endpoint, heartbeat] : this->heartbeats.TakeHeartbeats()) {
    this->parts.network.Heartbeat(this->shared_from_this(), endpoint,
                                  heartbeat);
  }
  for (const auto& renewed : this->heartbeats.TakeRenewals()) {
    this->decisions->OnHeartbeat(renewed.endpoint, renewed.renewal,
                                 this->parts.queue.now());
  }
}

void EntryHost::Pump() {
  this->manifests.Pump();
  this->PumpHeartbeats();
  for (const entry::EntryAction& action : this->decisions->TakeActions()) {
    std::visit([this](const auto& typed) { this->Run(typed); }, action);
  }
}

Instant EntryHost::DueAt() const {
  return std::min({this->decisions->next_timer(), this->heartbeats.next_timer(),
                   this->manifests.follower().next_timer()});
}

void EntryHost::OnDue() {
  const Instant now = this->parts.queue.now();
  if (this->manifests.follower().next_timer() <= now) {
    this->manifests.follower().OnTimer(now);
  }
  if (this->decisions->next_timer() <= now) {
    this->decisions->OnTimer(now);
  }
  this->heartbeats.OnTimer(now);
}

std::function<void(std::function<void()>)> EntryHost::Later() {
  return [weak = this->weak_from_this()](std::function<void()> task) {
    if (const auto self = weak.lock()) {
      self->Feed(std::move(task));
    }
  };
}

void EntryHost::Run(const entry::SendToAgent& action) {
  this->parts.checker.OnSend(this->Name(), this->start, action.endpoint,
                             action.message);
  this->parts.network.ToAgent(*this, action.endpoint, action.message);
}

void EntryHost::Run(const entry::ConnectEndpoint& action) {
  this->parts.network.Connect(this->shared_from_this(), action.endpoint);
}

void EntryHost::Run(const entry::DropEndpoint& action) {
  this->heartbeats.OnClosed(0, action.endpoint);
  this->parts.network.Drop(*this, action.endpoint);
}

void EntryHost::Run(const entry::AppendClaims& action) {
  this->parts.log.Append(
      kClaimsStream, action.payload,
      [this, ticket = action.ticket,
       later = this->Later()](const Result<LogOffset>& result) {
        later([=, this] {
          this->decisions->OnClaimsAppended(
              {.ticket = ticket,
               .outcome = OutcomeOf(result),
               .offset = result.ok() ? *result : LogOffset()},
              this->parts.queue.now());
        });
      });
}

void EntryHost::Run(const entry::ReadClaims& action) {
  this->parts.log.ReadFrom(
      kClaimsStream, action.from, action.wait,
      [this, ticket = action.ticket,
       later = this->Later()](const Result<cluster::ILog::Read>& result) {
        later([=, this] {
          this->decisions->OnClaimsRead(ReadOf(ticket, result),
                                        this->parts.queue.now());
        });
      });
}

void EntryHost::Run(const entry::AnswerText& action) {
  this->parts.callers.OnText(action, this->Later());
}

void EntryHost::Run(const entry::AnswerEnd& action) {
  this->parts.callers.OnEnd(action);
}

void EntryHost::Run(const entry::AnswerCall& action) {
  this->parts.callers.OnCallAnswered(action);
}

void EntryHost::Run(const entry::AnswerError& action) {
  this->parts.callers.OnError(action);
}

}  // namespace acacialug::scenario
