#include "entry/internal/endpoint_link.h"

#include <algorithm>
#include <utility>

#include "heartbeat/heartbeat_budget.h"

namespace acacialug::entry {
namespace {

constexpr Duration kOpenTimeout = 3s;   // for the connection, then for Welcome
constexpr Duration kDefaultLease = 3s;  // when Welcome names none
constexpr Duration kMinBackoff = 100ms;
// The entry reconnects to a replaced agent within a second, since the memory
// and link of its endpoint are needed at peak load. If a whole pool is down, an
// entry attempts one connection per second for each endpoint of its working
// set.
constexpr Duration kMaxBackoff = 1s;
constexpr std::uint32_t kMaxDoublings = 6;

}  // namespace

EndpointLink::EndpointLink(EndpointId endpoint_id,
                           const EntryOptions& entry_options,
                           RandomSource& random_source,
                           std::vector<EntryAction>& action_list)
    : endpoint(std::move(endpoint_id)),
      options(entry_options),
      random(random_source),
      actions(action_list) {}

void EndpointLink::Send(protocol::EntryToAgent message) {
  this->actions.emplace_back(
      SendToAgent{.endpoint = this->endpoint, .message = std::move(message)});
}

void EndpointLink::Connect(Instant now) {
  if (this->state != LinkState::kIdle) {
    return;
  }
  this->state = LinkState::kConnecting;
  this->retry_at = now + kOpenTimeout;
  this->actions.emplace_back(ConnectEndpoint{this->endpoint});
}

void EndpointLink::Release(LogOffset manifest) {
  if (this->state == LinkState::kOpen) {
    // An agent learns of newer manifests from entries only. All entries would
    // drop the session of a leaving agent before sending it the offset of the
    // manifest that removes it. The agent would then keep accepting work from
    // an entry with an older manifest, and never finish.
    this->Send(protocol::Renew{.incarnation = this->options.incarnation,
                               .manifest = manifest,
                               .interval = this->options.renew_interval});
  }
  if (this->state != LinkState::kIdle &&
      this->state != LinkState::kBackingOff) {
    this->actions.emplace_back(DropEndpoint{this->endpoint});
  }
  this->state = LinkState::kIdle;
  this->agent = {};
  this->renewals.clear();
}

void EndpointLink::OnConnected(LogOffset manifest, Instant now) {
  if (this->state != LinkState::kConnecting) {
    return;
  }
  this->state = LinkState::kOpening;
  this->retry_at = now + kOpenTimeout;
  this->renewals.assign(1, now);
  const bool standalone = this->options.process.empty();
  this->Send(protocol::Hello{
      .entry = this->options.id,
      .incarnation = this->options.incarnation,
      .domain = this->options.domain,
      .manifest = manifest,
      .process = standalone ? this->options.id : this->options.process,
      .process_incarnation = standalone ? this->options.incarnation
                                        : this->options.process_incarnation,
      .interval = this->options.renew_interval});
}

void EndpointLink::OnWelcome(const protocol::Welcome& welcome, Instant now) {
  if (this->state != LinkState::kOpening || this->renewals.empty()) {
    return;
  }
  const Instant sent_at = this->renewals.front();
  this->renewals.clear();
  this->lease =
      welcome.lease > Duration::zero() ? welcome.lease : kDefaultLease;
  this->lease_until = sent_at + this->lease;
  this->last_round_trip = now - sent_at;
  this->renew_at = now + this->lease / heartbeat::kIntervalsPerLease;
  this->agent = welcome.incarnation;
  this->session = welcome.session;
  this->state = LinkState::kOpen;
  this->failures = 0;
}

void EndpointLink::Extend(Instant sent_at, Duration granted_lease) {
  this->lease = granted_lease > Duration::zero() ? granted_lease : this->lease;
  this->lease_until = std::max(this->lease_until, sent_at + this->lease);
}

void EndpointLink::OnRenewed(const protocol::Renewed& renewed, Instant now) {
  if (this->state != LinkState::kOpen || this->renewals.empty()) {
    return;
  }
  // Answers carry no number, so each one is matched to the oldest open renewal.
  // If an answer was lost, the lease ends too early rather than too late.
  const Instant sent_at = this->renewals.front();
  this->renewals.pop_front();
  this->Extend(sent_at, renewed.lease);
  this->last_round_trip = now - sent_at;
}

bool EndpointLink::OnHeartbeat(const heartbeat::SessionRenewal& renewal,
                               Instant now) {
  // The session may have lapsed or been replaced while the answer was in
  // transit. The answer must restore it in neither case.
  if (!this->Usable(now) ||
      renewal.session != heartbeat::SessionName{.agent = this->agent,
                                                .number = this->session}) {
    return false;
  }
  this->Extend(renewal.sent_at, renewal.lease);
  this->last_round_trip = renewal.round_trip;
  // After half a lease without a heartbeat, this link renews by frames.
  this->renew_at = std::max(this->renew_at, renewal.sent_at + this->lease / 2);
  return true;
}

void EndpointLink::Drop(Instant now) {
  this->actions.emplace_back(DropEndpoint{this->endpoint});
  this->OnClosed(now);
}

void EndpointLink::OnClosed(Instant now) {
  if (this->state == LinkState::kIdle ||
      this->state == LinkState::kBackingOff) {
    return;
  }
  this->state = LinkState::kBackingOff;
  this->agent = {};
  this->renewals.clear();
  const Duration step =
      std::min(kMinBackoff * (1U << std::min(this->failures, kMaxDoublings)),
               kMaxBackoff);
  ++this->failures;
  // Without jitter, all entries that lost the same agent would reconnect to it
  // at the same moment.
  this->retry_at =
      now + step / 2 + FromSeconds(Seconds(step) / 2 * this->random.Unit());
}

bool EndpointLink::OnTimer(LogOffset manifest, Instant now) {
  if (this->state == LinkState::kOpen) {
    if (now >= this->lease_until) {
      // A stalled process also detects the loss here: the stall exceeded the
      // lease, and the agent has released what the session held.
      this->Drop(now);
      return true;
    }
    if (now >= this->renew_at) {
      this->renew_at = now + this->lease / heartbeat::kIntervalsPerLease;
      this->renewals.push_back(now);
      this->Send(protocol::Renew{.incarnation = this->options.incarnation,
                                 .manifest = manifest,
                                 .interval = this->options.renew_interval});
    }
    return false;
  }
  if (this->state == LinkState::kIdle || now < this->retry_at) {
    return false;
  }
  if (this->state == LinkState::kBackingOff) {
    this->state = LinkState::kIdle;
    this->Connect(now);
    return false;
  }
  this->Drop(now);
  return false;
}

void EndpointLink::DeferTimeouts(Instant no_timeout_before) {
  if (this->state == LinkState::kConnecting ||
      this->state == LinkState::kOpening) {
    this->retry_at = std::max(this->retry_at, no_timeout_before);
  }
}

Instant EndpointLink::NextTimer() const {
  switch (this->state) {
    case LinkState::kIdle:
      return kNever;
    case LinkState::kOpen:
      return std::min(this->lease_until, this->renew_at);
    case LinkState::kConnecting:
    case LinkState::kOpening:
    case LinkState::kBackingOff:
      return this->retry_at;
  }
  return kNever;
}

}  // namespace acacialug::entry
