#ifndef HEARTBEAT_HEARTBEAT_SENDER_H_
#define HEARTBEAT_HEARTBEAT_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "framework/global/random_source.h"
#include "heartbeat/heartbeat_budget.h"
#include "heartbeat/types/session_renewal.h"
#include "protocol/types/heartbeat.h"

namespace acacialug::heartbeat {

// A session that a shard has open.
struct OpenSession {
  int shard = 0;
  EndpointId endpoint;
  SessionName name;
  Duration lease{};         // of its Welcome
  bool by_datagram = true;  // false: its renewals are frames, and only counted
};

struct SendHeartbeat {
  EndpointId endpoint;
  protocol::Heartbeat heartbeat;
};

// To be told to the shard, whose own clock check decides whether the session
// still stands.
struct RenewalReport {
  int shard = 0;
  EndpointId endpoint;
  SessionRenewal renewal;
};

// The heartbeats of an entry's process, one an agent for the sessions of all
// its shards, without sockets, threads or a clock. Not thread safe; `now`
// never goes backwards.
//
// A heartbeat that gets lost costs no session: two more follow within seconds,
// and the shard renews by frames when half of its lease is over.
class HeartbeatSender {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    HeartbeatBudget::Options budget;
    // False: the shard stands still. Its sessions are then left out, and lapse
    // as they would if it renewed them itself. Empty: all shards run.
    std::function<bool(int shard, Instant now)> shard_runs;
  };

  // `random_source` outlives this object.
  HeartbeatSender(Options sender_options, RandomSource& random_source);

  // Replaces what the shard had open with that endpoint.
  void OnOpened(const OpenSession& session, Instant now);
  // Unknown is no error.
  void OnClosed(int shard, const EndpointId& endpoint);

  // A newer manifest is in force here. Every agent hears of it within seconds,
  // however long the interval: agents hear of manifests from entries alone.
  void OnManifest(LogOffset offset, Instant now);

  // `bytes`: of the datagram. False: the answer is late, doubled, forged or of
  // another start, and changes nothing.
  bool OnAnswer(const protocol::HeartbeatAnswer& answer,
                std::size_t bytes,
                Instant now);

  // Call at or after next_timer().
  void OnTimer(Instant now);
  Instant next_timer() const;

  std::vector<SendHeartbeat> TakeHeartbeats();
  std::vector<RenewalReport> TakeRenewals();

  // That the budget asks for, with the sessions open now.
  Duration interval() const;
  // False: the budget is exceeded even at the longest interval.
  bool within_budget() const;
  bool Knows(const EndpointId& endpoint) const {
    return this->peer_of.contains(endpoint);
  }
  std::size_t peers() const { return this->peer_of.size(); }

 private:
  struct Session {
    SessionName name;
    bool by_datagram = true;
  };
  struct Sent {
    std::uint32_t sequence = 0;
    Instant at;
    LogOffset manifest;
    std::vector<std::pair<int, SessionName>> sessions;  // in the order listed
  };
  struct Peer {
    std::map<int, Session> sessions;  // by shard
    Incarnation agent;                // of the newest session
    Duration lease{};
    Instant due = kNever;
    std::deque<Sent> sent;         // the newest few, not yet answered
    std::uint32_t unanswered = 0;  // in a row
    std::uint32_t newest_answer = 0;
    std::uint32_t load_seen = 0;
  };

  void ForgetAgent(const EndpointId& endpoint, const Peer& peer);
  void SetDue(const EndpointId& endpoint, Peer& peer, Instant due);
  void Send(const EndpointId& endpoint, Peer& peer, Instant now);
  std::vector<std::pair<int, SessionName>> Listed(const Peer& peer,
                                                  Instant now) const;
  void Renew(const EndpointId& endpoint,
             const Sent& sent,
             const protocol::HeartbeatAnswer& answer,
             bool newest,
             Instant now);
  Duration IntervalOf(const Peer& peer) const;
  double BytesPerRound() const;

  Options options;
  HeartbeatBudget budget;
  RandomSource& random;
  double empty_heartbeat_bytes = 0;
  double answer_bytes = 0;  // exponentially weighted mean
  std::map<EndpointId, Peer> peer_of;
  std::map<Incarnation, EndpointId> endpoint_of;  // by agent
  std::set<std::pair<Instant, EndpointId>> due_order;
  std::size_t datagram_sessions = 0;
  std::size_t frame_sessions = 0;
  std::uint32_t last_sequence = 0;
  LogOffset manifest;
  std::vector<SendHeartbeat> heartbeats;
  std::vector<RenewalReport> renewals;
};

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_HEARTBEAT_SENDER_H_
