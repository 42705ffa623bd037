#ifndef ENTRY_INTERNAL_ENDPOINT_LINK_H_
#define ENTRY_INTERNAL_ENDPOINT_LINK_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "entry/types/entry_messages.h"
#include "entry/types/entry_options.h"
#include "framework/global/random_source.h"
#include "heartbeat/types/session_renewal.h"

namespace acacialug::entry {

enum class LinkState : std::uint8_t {
  kIdle,        // not connected, and not needed
  kConnecting,  // ConnectEndpoint sent to the process
  kOpening,     // Hello sent
  kOpen,        // Welcome received, lease running
  kBackingOff,  // waiting to reconnect
};
inline constexpr EnumNames<LinkState, 5> kLinkStateNames = {{
    {LinkState::kIdle, "idle"},
    {LinkState::kConnecting, "connecting"},
    {LinkState::kOpening, "opening"},
    {LinkState::kOpen, "open"},
    {LinkState::kBackingOff, "backing_off"},
}};

// The session with one endpoint's agent: connects, opens the session, renews
// its lease, and drops the session when the lease has lapsed by this entry's
// clock. The lease counts from the moment at which the renewal was sent, so
// that it never ends later here than at the agent. Heartbeats of the process
// renew the lease; without them this link renews it by frames. Not thread safe.
class EndpointLink {
 public:
  EndpointLink(EndpointId endpoint,
               const EntryOptions& entry_options,
               RandomSource& random_source,
               std::vector<EntryAction>& action_list);

  // Connects when idle.
  void Connect(Instant now);
  // The session is no longer needed: drops it.
  void Release(LogOffset manifest);

  // `manifest` is the active offset, which is sent to the agent.
  void OnConnected(LogOffset manifest, Instant now);
  void OnWelcome(const protocol::Welcome& welcome, Instant now);
  void OnRenewed(const protocol::Renewed& renewed, Instant now);
  // A heartbeat renewed a session. Returns false if it was another session, or
  // if this one is not usable any more.
  bool OnHeartbeat(const heartbeat::SessionRenewal& renewal, Instant now);
  // The connection was closed, or its session was dropped.
  void OnClosed(Instant now);

  // Call at or after NextTimer(). Returns true when the session was open and
  // has lapsed: everything that it held is lost.
  bool OnTimer(LogOffset manifest, Instant now);
  Instant NextTimer() const;
  // A connection that is being opened does not time out before this instant.
  void DeferTimeouts(Instant no_timeout_before);

  // True when work may be sent: the session is open and its lease has not
  // lapsed.
  bool Usable(Instant now) const {
    return this->state == LinkState::kOpen && now < this->lease_until;
  }
  LinkState State() const { return this->state; }
  // Of the agent; zero while no session is open.
  Incarnation Agent() const { return this->agent; }
  Duration LastRoundTrip() const { return this->last_round_trip; }

 private:
  void Send(protocol::EntryToAgent message);
  void Drop(Instant now);
  // Never makes the running lease shorter.
  void Extend(Instant sent_at, Duration granted_lease);

  EndpointId endpoint;
  const EntryOptions& options;
  RandomSource& random;
  std::vector<EntryAction>& actions;

  LinkState state = LinkState::kIdle;
  Incarnation agent;
  std::uint32_t session = 0;  // its number at the agent
  Duration lease{};
  Instant lease_until{};
  Instant renew_at{};
  Instant retry_at{};  // kBackingOff: reconnect; else: the opening times out
  std::deque<Instant> renewals;  // sent and not yet answered
  std::uint32_t failures = 0;    // in a row
  Duration last_round_trip{};
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_ENDPOINT_LINK_H_
