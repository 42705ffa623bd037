#include "entry/internal/endpoint_link.h"

#include <algorithm>
#include <utility>

#include "heartbeat/heartbeat_budget.h"

namespace acacialug::entry {
namespace {

constexpr Duration kOpenTimeout = 3s;   // to connect, and again for the Welcome
constexpr Duration kDefaultLease = 3s;  // for a Welcome that names none
constexpr Duration kFirstBackoff = 100ms;
// An agent that was replaced is found again within a second: its endpoint's
// memory and link are missed at peak. Of a pool that is gone whole this costs
// an entry one connection a second and endpoint of its working set.
constexpr Duration kLongestBackoff = 1s;
constexpr std::uint32_t kMostDoublings = 6;

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
    // An agent hears of newer manifests from entries only. One that is to
    // leave would be dropped by all of them before any had told it: it would
    // go on taking work from an entry that is late, and never end.
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
  const bool alone = this->options.process.empty();
  this->Send(protocol::Hello{
      .entry = this->options.id,
      .incarnation = this->options.incarnation,
      .domain = this->options.domain,
      .manifest = manifest,
      .process = alone ? this->options.id : this->options.process,
      .process_incarnation =
          alone ? this->options.incarnation : this->options.process_incarnation,
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
  // Answers carry no number. Counting each one for the oldest open renewal
  // errs, if an answer was lost, towards a lease that ends too early.
  const Instant sent_at = this->renewals.front();
  this->renewals.pop_front();
  this->Extend(sent_at, renewed.lease);
  this->last_round_trip = now - sent_at;
}

bool EndpointLink::OnHeartbeat(const heartbeat::SessionRenewal& renewal,
                               Instant now) {
  // The session may have lapsed, or given way to another, while the answer
  // was under way: it must bring neither back.
  if (!this->Usable(now) ||
      renewal.session != heartbeat::SessionName{.agent = this->agent,
                                                .number = this->session}) {
    return false;
  }
  this->Extend(renewal.sent_at, renewal.lease);
  this->last_round_trip = renewal.round_trip;
  // Half of a lease without a heartbeat, and frames take over.
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
      std::min(kFirstBackoff * (1U << std::min(this->failures, kMostDoublings)),
               kLongestBackoff);
  ++this->failures;
  // Jitter: without it all entries that lost one agent meet it again at the
  // same moment.
  this->retry_at =
      now + step / 2 + FromSeconds(Seconds(step) / 2 * this->random.Unit());
}

bool EndpointLink::OnTimer(LogOffset manifest, Instant now) {
  if (this->state == LinkState::kOpen) {
    if (now >= this->lease_until) {
      // Also the way a paused process finds out: it slept longer than the
      // lease, and the agent has given away what it held.
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
