#include "entry_process/internal/heartbeats.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "entry_process/metric_definitions.h"
#include "framework/log/log.h"
#include "protocol/message_codec.h"

namespace acacialug::entry_process {
namespace {

// A shard wakes at least once a second. A shard that has not done so for the
// time of the shortest lease would have lost its sessions had it renewed them
// itself.
constexpr Duration kShardTimeout = 3s;
// The answers to one round of heartbeats arrive within this time. The delay
// shortens no lease: all leases count from the sending.
constexpr std::chrono::milliseconds kReportDelay{5};

}  // namespace

Heartbeats::Heartbeats(const Options& heartbeat_options)
    : options(heartbeat_options),
      random(heartbeat_options.seed),
      sender(this->SenderOptions(), this->random),
      socket({.max_bytes = protocol::kMaxDatagramBytes,
              .on_datagram =
                  [this](std::string_view datagram, const http::Address&) {
                    this->OnDatagram(datagram);
                  }}),
      reported_interval(heartbeat_options.process.core.renew_interval),
      bytes_sent(this->options.registry.Get(kHeartbeatBytesTotal, {"sent"})),
      bytes_received(
          this->options.registry.Get(kHeartbeatBytesTotal, {"received"})),
      sent(this->options.registry.Get(kHeartbeatsTotal, {"sent"})),
      answered(this->options.registry.Get(kHeartbeatsTotal, {"answered"})),
      dropped(this->options.registry.Get(kHeartbeatsTotal, {"dropped"})),
      over_budget(this->options.registry.Get(kHeartbeatOverBudgetTotal)),
      interval(this->options.registry.Get(kHeartbeatIntervalSeconds)) {
  this->interval.Set(Seconds(this->reported_interval));
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, &this->context,
                   [this] { this->OnTimer(); });
  this->report_timer.setSingleShot(true);
  QObject::connect(&this->report_timer, &QTimer::timeout, &this->context,
                   [this] { this->ReportToShards(); });
}

heartbeat::HeartbeatSender::Options Heartbeats::SenderOptions() const {
  heartbeat::HeartbeatBudget::Options budget = this->options.process.heartbeats;
  budget.shortest = this->options.process.core.renew_interval;
  budget.longest = std::max(budget.longest, budget.shortest);
  return {.entry = this->options.process.core.id,
          .incarnation = this->options.process.core.incarnation,
          .budget = budget,
          .shard_runs = [&state = this->options.state](int shard, Instant now) {
            return now - state.board(shard).last_running() < kShardTimeout;
          }};
}

void Heartbeats::Start() {
  // The sender of a heartbeat in a datagram could not be verified: the
  // certificates of peer_tls cover connections only (docs/decisions).
  if (this->options.process.channels.tls.enabled()) {
    return;
  }
  const Status status = this->socket.Bind({.ip = "0.0.0.0"});
  this->bound = status.ok();
  if (!status.ok()) {
    log::Warning("heartbeats_by_frames",
                 {.code = status.error().result_code(),
                  .fields = {{"detail", status.error().detail}}});
  }
}

void Heartbeats::OnOpened(heartbeat::OpenSession session, std::uint16_t port) {
  const auto manifest = this->options.state.manifest();
  const manifest::Endpoint* const record =
      manifest == nullptr ? nullptr : manifest->FindEndpoint(session.endpoint);
  // The socket is IPv4 only; an agent at an address of another kind gets
  // frames.
  session.by_datagram = this->bound && port != 0 && record != nullptr &&
                        record->agent.ip.find(':') == std::string::npos;
  if (session.by_datagram) {
    this->addresses[session.endpoint] = {.ip = record->agent.ip, .port = port};
  }
  this->sender.OnOpened(session, MonotonicNow());
  this->Pump();
}

void Heartbeats::OnClosed(int shard, const EndpointId& endpoint) {
  this->sender.OnClosed(shard, endpoint);
  if (!this->sender.Knows(endpoint)) {
    this->addresses.erase(endpoint);
  }
  this->Pump();
}

void Heartbeats::OnManifest(LogOffset offset) {
  this->sender.OnManifest(offset, MonotonicNow());
  this->Pump();
}

void Heartbeats::OnDatagram(std::string_view datagram) {
  this->bytes_received.Add(datagram.size() + protocol::kDatagramHeaderBytes);
  const Result<protocol::HeartbeatAnswer> answer =
      protocol::DecodeHeartbeatAnswer(datagram);
  if (!answer.ok() ||
      !this->sender.OnAnswer(*answer, datagram.size(), MonotonicNow())) {
    this->dropped.Add();
    return;
  }
  this->answered.Add();
  if (this->options.state.NoteManifestOffset(answer->manifest)) {
    this->options.on_manifest_reported(answer->manifest);
  }
  this->Pump();
}

void Heartbeats::OnTimer() {
  this->armed_for = kNever;
  this->sender.OnTimer(MonotonicNow());
  this->Pump();
}

void Heartbeats::Pump() {
  for (const heartbeat::SendHeartbeat& action : this->sender.TakeHeartbeats()) {
    this->Send(action);
  }
  for (heartbeat::RenewalReport& renewed : this->sender.TakeRenewals()) {
    this->renewals[renewed.shard].push_back(std::move(renewed));
  }
  if (!this->renewals.empty() && !this->report_timer.isActive()) {
    this->report_timer.start(kReportDelay);
  }
  this->FollowBudget();
  this->ArmTimer();
}

void Heartbeats::ReportToShards() {
  for (const auto& [shard, renewed] : std::exchange(this->renewals, {})) {
    this->options.on_renewed(shard, renewed);
  }
}

void Heartbeats::Send(const heartbeat::SendHeartbeat& action) {
  const auto address = this->addresses.find(action.endpoint);
  if (address == this->addresses.end()) {
    return;
  }
  const std::string datagram = protocol::Encode(action.heartbeat);
  if (this->socket.Send(datagram, address->second)) {
    this->sent.Add();
    this->bytes_sent.Add(datagram.size() + protocol::kDatagramHeaderBytes);
  }
}

void Heartbeats::ArmTimer() {
  const Instant next = this->sender.next_timer();
  if (next >= this->armed_for) {
    return;  // the timer fires early and is armed again
  }
  this->armed_for = next;
  this->timer.start(std::chrono::ceil<std::chrono::milliseconds>(
      std::max(next - MonotonicNow(), Duration::zero())));
}

void Heartbeats::FollowBudget() {
  // A small change of the interval is not worth a message to every shard.
  const Duration wanted = this->sender.interval();
  if (std::chrono::abs(wanted - this->reported_interval) >
      this->reported_interval / 16) {
    this->reported_interval = wanted;
    this->interval.Set(Seconds(wanted));
    this->options.on_interval(wanted);
  }
  const bool within = this->sender.within_budget();
  if (within == std::exchange(this->within_budget, within)) {
    return;
  }
  if (!within) {
    this->over_budget.Add();
  }
  log::WriteLimited(
      this->options.log_limiter, MonotonicNow(),
      within ? log::Level::kInfo : log::Level::kWarning,
      within ? "heartbeat_budget_held" : "heartbeat_budget_exceeded",
      {.fields = {{"agents", this->sender.peers()},
                  {"interval_ms", this->reported_interval},
                  {"bytes_per_second",
                   this->options.process.heartbeats.bytes_per_second}}});
}

}  // namespace acacialug::entry_process
