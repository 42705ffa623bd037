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

// An open session of a shard.
struct OpenSession {
  int shard = 0;
  EndpointId endpoint;
  SessionName name;
  Duration lease{};         // from its Welcome
  bool by_datagram = true;  // false: renewed by frames; only counted here
};

struct SendHeartbeat {
  EndpointId endpoint;
  protocol::Heartbeat heartbeat;
};

// Reports a renewal to the shard. The shard decides by its own clock check
// whether the session is still valid.
struct RenewalReport {
  int shard = 0;
  EndpointId endpoint;
  SessionRenewal renewal;
};

// Schedules the heartbeats of an entry process: one heartbeat per agent renews
// the sessions of all shards with that agent. Has no sockets, threads or clock
// of its own. Not thread safe; `now` never goes backwards.
//
// A lost heartbeat does not end a session: two more follow within seconds, and
// the shard renews by frames once half of its lease has elapsed.
class HeartbeatSender {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    HeartbeatBudget::Options budget;
    // False: the shard is stalled. Its sessions are then left out of the
    // heartbeats and expire, as they would if the shard renewed them itself.
    // Empty: all shards are taken to run.
    std::function<bool(int shard, Instant now)> shard_runs;
  };

  // `random_source` outlives this object.
  HeartbeatSender(Options sender_options, RandomSource& random_source);

  // Replaces an open session of the same shard with that endpoint.
  void OnOpened(const OpenSession& session, Instant now);
  // Does nothing when the session is unknown.
  void OnClosed(int shard, const EndpointId& endpoint);

  // A newer manifest is active in this process. Every agent is informed within
  // seconds, however long the interval is: agents learn of new manifests only
  // from entries.
  void OnManifest(LogOffset offset, Instant now);

  // `bytes` is the size of the datagram. Returns false if the answer is late, a
  // duplicate, forged or from another incarnation; it then changes nothing.
  bool OnAnswer(const protocol::HeartbeatAnswer& answer,
                std::size_t bytes,
                Instant now);

  // Call at or after next_timer().
  void OnTimer(Instant now);
  Instant next_timer() const;

  std::vector<SendHeartbeat> TakeHeartbeats();
  std::vector<RenewalReport> TakeRenewals();

  // The interval that the budget requires for the currently open sessions.
  Duration interval() const;
  // False if the budget is exceeded even at the longest interval.
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
    std::vector<std::pair<int, SessionName>> sessions;  // in the order sent
  };
  struct Peer {
    std::map<int, Session> sessions;  // by shard
    Incarnation agent;                // of the newest session
    Duration lease{};
    Instant due = kNever;
    std::deque<Sent> sent;         // the latest unanswered ones, up to kMaxSent
    std::uint32_t unanswered = 0;  // consecutive heartbeats without an answer
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
