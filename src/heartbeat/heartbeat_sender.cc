#include "heartbeat/heartbeat_sender.h"

#include <algorithm>

#include "protocol/message_codec.h"

namespace acacialug::heartbeat {
namespace {

// The number of unanswered heartbeats kept per agent. An answer that arrives
// after three later heartbeats would renew nothing.
constexpr std::size_t kMaxSent = 4;
// An unanswered heartbeat is followed by another after this delay, at most
// kResends times in a row.
constexpr Duration kResendAfter = 1s;
constexpr std::uint32_t kResends = 2;
// Agents are informed of a newer manifest within this time, regardless of their
// interval. The heartbeats are spread over it, so that the agents do not all
// read the log at once.
constexpr Duration kMaxManifestDelay = 500ms;
constexpr double kWeightOfNewest = 0.01;
constexpr double kBytesPerListedSession = sizeof(std::uint32_t);

// Heartbeats are batched into ticks, four per second or four per interval,
// whichever is more frequent: waking the thread costs more than the datagrams
// that it then sends and reads.
constexpr Duration kMaxTick = 250ms;
constexpr int kTicksPerInterval = 4;

Duration TickLength(Duration interval) {
  return std::max(std::min(interval / kTicksPerInterval, kMaxTick),
                  Duration(1));
}

// The start of the tick that contains `at`.
Instant TickOf(Instant at, Duration interval) {
  const Duration tick = TickLength(interval);
  return Instant(at.time_since_epoch() / tick * tick);
}

// The first tick that is `interval` or more after the tick of `at`.
Instant TickAfter(Instant at, Duration interval) {
  const Duration tick = TickLength(interval);
  return TickOf(at, interval) + (interval + tick - Duration(1)) / tick * tick;
}

double WireBytes(const std::string& datagram) {
  return static_cast<double>(datagram.size() + protocol::kDatagramHeaderBytes);
}

}  // namespace

HeartbeatSender::HeartbeatSender(Options sender_options,
                                 RandomSource& random_source)
    : options(std::move(sender_options)),
      budget(this->options.budget),
      random(random_source),
      empty_heartbeat_bytes(WireBytes(
          protocol::Encode(protocol::Heartbeat{.entry = this->options.entry}))),
      // Before the first answer, assumes that each answer contains a load.
      answer_bytes(WireBytes(
          protocol::Encode(protocol::HeartbeatAnswer{.has_load = true}))) {}

// ---- sessions ----

void HeartbeatSender::OnOpened(const OpenSession& session, Instant now) {
  this->OnClosed(session.shard, session.endpoint);
  Peer& peer = this->peer_of[session.endpoint];
  if (peer.agent != session.name.agent) {
    this->ForgetAgent(session.endpoint, peer);
    peer.sent.clear();
    peer.agent = session.name.agent;
    peer.newest_answer = 0;
    peer.load_seen = 0;
    this->endpoint_of[peer.agent] = session.endpoint;
  }
  peer.sessions[session.shard] = {.name = session.name,
                                  .by_datagram = session.by_datagram};
  peer.lease = std::max(peer.lease, session.lease);
  ++(session.by_datagram ? this->datagram_sessions : this->frame_sessions);
  if (session.by_datagram && peer.due == kNever) {
    // Spread, since all sessions of a starting entry open at the same moment.
    const Duration interval = this->IntervalOf(peer);
    const Duration spread =
        FromSeconds(Seconds(interval) / 2 * this->random.Unit());
    this->SetDue(session.endpoint, peer, TickOf(now + spread, interval));
  }
}

void HeartbeatSender::OnClosed(int shard, const EndpointId& endpoint) {
  const auto found = this->peer_of.find(endpoint);
  if (found == this->peer_of.end()) {
    return;
  }
  Peer& peer = found->second;
  const auto session = peer.sessions.find(shard);
  if (session == peer.sessions.end()) {
    return;
  }
  --(session->second.by_datagram ? this->datagram_sessions
                                 : this->frame_sessions);
  peer.sessions.erase(session);
  if (peer.sessions.empty()) {
    this->SetDue(endpoint, peer, kNever);
    this->ForgetAgent(endpoint, peer);
    this->peer_of.erase(found);
  }
}

void HeartbeatSender::ForgetAgent(const EndpointId& endpoint,
                                  const Peer& peer) {
  const auto found = this->endpoint_of.find(peer.agent);
  if (found != this->endpoint_of.end() && found->second == endpoint) {
    this->endpoint_of.erase(found);
  }
}

void HeartbeatSender::OnManifest(LogOffset offset, Instant now) {
  if (offset <= this->manifest) {
    return;
  }
  this->manifest = offset;
  for (auto& [endpoint, peer] : this->peer_of) {
    const Duration spread =
        FromSeconds(Seconds(kMaxManifestDelay) * this->random.Unit());
    const Instant soon = TickOf(now + spread, this->IntervalOf(peer));
    if (peer.due != kNever && soon < peer.due) {
      this->SetDue(endpoint, peer, soon);
    }
  }
}

// ---- sending ----

void HeartbeatSender::SetDue(const EndpointId& endpoint,
                             Peer& peer,
                             Instant due) {
  this->due_order.erase({peer.due, endpoint});
  peer.due = due;
  if (due != kNever) {
    this->due_order.emplace(due, endpoint);
  }
}

Instant HeartbeatSender::next_timer() const {
  return this->due_order.empty() ? kNever : this->due_order.begin()->first;
}

void HeartbeatSender::OnTimer(Instant now) {
  while (this->next_timer() <= now) {
    const EndpointId endpoint = this->due_order.begin()->second;
    this->Send(endpoint, this->peer_of.at(endpoint), now);
  }
}

std::vector<std::pair<int, SessionName>> HeartbeatSender::Listed(
    const Peer& peer,
    Instant now) const {
  std::vector<std::pair<int, SessionName>> listed;
  for (const auto& [shard, session] : peer.sessions) {
    // A session of an earlier incarnation of the agent ends with its
    // connection.
    const bool renewable =
        session.by_datagram && session.name.agent == peer.agent &&
        (!this->options.shard_runs || this->options.shard_runs(shard, now));
    if (renewable && listed.size() < protocol::kMaxHeartbeatSessions) {
      listed.emplace_back(shard, session.name);
    }
  }
  return listed;
}

void HeartbeatSender::Send(const EndpointId& endpoint,
                           Peer& peer,
                           Instant now) {
  const Duration interval = this->IntervalOf(peer);
  Sent sent{.at = now,
            .manifest = this->manifest,
            .sessions = this->Listed(peer, now)};
  if (sent.sessions.empty()) {
    this->SetDue(endpoint, peer, TickAfter(now, interval));
    return;
  }
  sent.sequence = ++this->last_sequence;
  protocol::Heartbeat heartbeat{.entry = this->options.entry,
                                .incarnation = this->options.incarnation,
                                .sequence = sent.sequence,
                                .load_seen = peer.load_seen,
                                .manifest = this->manifest,
                                .interval = this->interval()};
  for (const auto& [shard, name] : sent.sessions) {
    heartbeat.sessions.push_back(name.number);
  }
  peer.sent.push_back(std::move(sent));
  if (peer.sent.size() > kMaxSent) {
    peer.sent.pop_front();
  }
  const bool resend = ++peer.unanswered <= kResends;
  this->SetDue(
      endpoint, peer,
      TickAfter(now, resend ? std::min(interval, kResendAfter) : interval));
  this->heartbeats.push_back(
      {.endpoint = endpoint, .heartbeat = std::move(heartbeat)});
}

// ---- answers ----

bool HeartbeatSender::OnAnswer(const protocol::HeartbeatAnswer& answer,
                               std::size_t bytes,
                               Instant now) {
  const auto endpoint = this->endpoint_of.find(answer.agent);
  if (endpoint == this->endpoint_of.end()) {
    return false;
  }
  Peer& peer = this->peer_of.at(endpoint->second);
  const auto found = std::find_if(
      peer.sent.begin(), peer.sent.end(),
      [&](const Sent& sent) { return sent.sequence == answer.sequence; });
  if (found == peer.sent.end()) {
    return false;
  }
  const Sent sent = std::move(*found);
  peer.sent.erase(found);
  peer.unanswered = 0;
  const auto size = static_cast<double>(bytes + protocol::kDatagramHeaderBytes);
  this->answer_bytes += (size - this->answer_bytes) * kWeightOfNewest;
  const bool newest = answer.sequence > peer.newest_answer;
  if (newest) {
    peer.newest_answer = answer.sequence;
    peer.load_seen = answer.has_load ? answer.sequence : peer.load_seen;
    peer.lease = answer.lease;
    const Instant next =
        std::max(now, TickAfter(sent.at, this->IntervalOf(peer)));
    // The answer to a heartbeat from before a newer manifest must not delay the
    // heartbeat that announces this manifest.
    this->SetDue(
        endpoint->second, peer,
        sent.manifest < this->manifest ? std::min(next, peer.due) : next);
  }
  this->Renew(endpoint->second, sent, answer, newest, now);
  return true;
}

void HeartbeatSender::Renew(const EndpointId& endpoint,
                            const Sent& sent,
                            const protocol::HeartbeatAnswer& answer,
                            bool newest,
                            Instant now) {
  for (std::size_t index = 0; index < sent.sessions.size(); ++index) {
    if (((answer.renewed >> index) & 1U) == 0) {
      continue;  // ended at the agent: it must expire here too
    }
    const auto& [shard, name] = sent.sessions[index];
    RenewalReport report{.shard = shard,
                         .endpoint = endpoint,
                         .renewal = {.session = name,
                                     .sent_at = sent.at,
                                     .round_trip = now - sent.at,
                                     .lease = answer.lease,
                                     .newest = newest,
                                     .leaving = answer.leaving}};
    if (answer.has_load && newest) {
      report.renewal.load = answer.load;
    }
    this->renewals.push_back(std::move(report));
  }
}

std::vector<SendHeartbeat> HeartbeatSender::TakeHeartbeats() {
  return std::exchange(this->heartbeats, {});
}

std::vector<RenewalReport> HeartbeatSender::TakeRenewals() {
  return std::exchange(this->renewals, {});
}

// ---- budget ----

double HeartbeatSender::BytesPerRound() const {
  const auto peers = static_cast<double>(this->peer_of.size());
  const auto frames = static_cast<double>(this->frame_sessions);
  return frames * kFrameRenewalBytes +
         (this->datagram_sessions == 0
              ? 0
              : peers * (this->empty_heartbeat_bytes + this->answer_bytes) +
                    static_cast<double>(this->datagram_sessions) *
                        kBytesPerListedSession);
}

Duration HeartbeatSender::interval() const {
  return this->budget.Interval(this->BytesPerRound());
}

bool HeartbeatSender::within_budget() const {
  return this->budget.Holds(this->BytesPerRound());
}

// The agent has a byte budget of its own; the lease it grants reflects both
// budgets.
Duration HeartbeatSender::IntervalOf(const Peer& peer) const {
  return peer.lease > Duration::zero() ? peer.lease / kIntervalsPerLease
                                       : this->interval();
}

}  // namespace acacialug::heartbeat
