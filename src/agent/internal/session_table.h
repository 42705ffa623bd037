#ifndef AGENT_INTERNAL_SESSION_TABLE_H_
#define AGENT_INTERNAL_SESSION_TABLE_H_

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/internal/entry_processes.h"
#include "agent/types/agent_messages.h"
#include "framework/global/types/instant.h"
#include "heartbeat/heartbeat_budget.h"
#include "protocol/types/messages.h"

namespace acacialug::agent {

// The sessions of the entries and their leases, measured on this agent's own
// clock. Not thread safe.
class SessionTable {
 public:
  struct Options {
    Duration lease = 3s;  // minimum
    heartbeat::HeartbeatBudget::Options heartbeats;
    bool expire = true;  // false only to test that its absence is detected
  };

  // The result of a Hello. With a `code` other than kOk the connection is to be
  // closed. The work of the sessions in `ended` is to be freed.
  struct Greeting {
    ResultCode code = ResultCode::kOk;
    std::vector<SessionId> ended;
  };

  explicit SessionTable(Options table_options)
      : options(table_options), budget(table_options.heartbeats) {}

  // A connection without a Hello lapses like one without renewals.
  void Open(SessionId session, Instant now);

  // Precondition: Contains(session).
  Greeting Greet(SessionId session, const protocol::Hello& hello, Instant now);

  // False when the incarnation is not that of the session's Hello.
  bool Renew(SessionId session, const protocol::Renew& renew, Instant now);

  // Renews those of the listed sessions that this process start has open, and
  // answers with lease and bits. Empty: the heartbeat renews no session, since
  // it is late, duplicated, or names sessions that are not its own or have
  // ended.
  std::optional<protocol::HeartbeatAnswer> RenewListed(
      const protocol::Heartbeat& heartbeat,
      Instant now);

  // The lease of a session that is to be renewed at this interval: follows the
  // interval that the entry requests and this agent's own byte budget, within
  // the longest interval.
  Duration LeaseFor(Duration interval) const;

  // False: renewals cost more than the budget even at the longest interval.
  bool WithinBudget() const {
    return this->budget.Holds(this->BytesPerRound());
  }
  EntryProcesses& processes() { return this->entry_processes; }

  // An unknown session is no error.
  void Close(SessionId session);

  // Removes the sessions whose lease has ended.
  std::vector<SessionId> Expire(Instant now);

  bool Contains(SessionId session) const;
  bool empty() const { return this->sessions.empty(); }
  // Empty before the session's Hello.
  std::optional<Incarnation> IncarnationOf(SessionId session) const;
  std::vector<SessionId> Greeted() const;
  Instant next_timer() const {
    return this->options.expire ? this->leases.next() : kNever;
  }

 private:
  struct Session {
    EntryId entry;
    Incarnation incarnation;
    EntryProcesses::Key process;
    bool greeted = false;
  };
  struct Entry {
    std::optional<Incarnation> incarnation;  // of the newest Hello
    std::deque<Incarnation> superseded;      // newest last
    std::unordered_set<SessionId> sessions;
    // The time since which a superseded start has requested a session while the
    // newest start had none.
    std::optional<Instant> vacant_since;
  };

  static bool MayReturn(Entry& entry, Instant now);
  // Never shortens a running lease, since the entry relies on it.
  void Extend(SessionId session, Duration lease, Instant now);
  double BytesPerRound() const;
  void RememberBounded(const EntryId& id);
  std::vector<SessionId> Supersede(Entry& entry);

  Options options;
  heartbeat::HeartbeatBudget budget;
  EntryProcesses entry_processes;
  std::unordered_map<SessionId, Session> sessions;
  std::unordered_map<EntryId, Entry> entries;
  DeadlineSet<SessionId> leases;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_SESSION_TABLE_H_
