#include "agent/internal/session_table.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace acacialug::agent {
namespace {

constexpr std::size_t kMaxSuperseded = 8;  // remembered incarnations per entry
constexpr std::size_t kMaxEntries = 4096;
// The time for which the successor must have had no session before a superseded
// start may return.
constexpr Duration kVacancy = 15s;
// The bytes of a heartbeat of two sessions and of its answer with a load, which
// most answers lack: 95 and 129 bytes with headers (docs/CAPACITY.md,
// `protocol.heartbeat_*`).
constexpr double kHeartbeatBytes = 95 + 129;

}  // namespace

void SessionTable::Open(SessionId session, Instant now) {
  this->sessions[session];
  this->leases.Set(session, now + this->options.lease);
}

SessionTable::Greeting SessionTable::Greet(SessionId session,
                                           const protocol::Hello& hello,
                                           Instant now) {
  Session& known = this->sessions.at(session);
  if (known.greeted) {
    const bool same = known.entry == hello.entry &&
                      this->Renew(session,
                                  {.incarnation = hello.incarnation,
                                   .interval = hello.interval},
                                  now);
    return {.code = same ? ResultCode::kOk : ResultCode::kBadFrame};
  }
  this->RememberBounded(hello.entry);
  Entry& entry = this->entries[hello.entry];
  // A process that was paused while its successor took over may resume and
  // connect again. Without this check it would end the successor's streams.
  const auto superseded = std::find(entry.superseded.begin(),
                                    entry.superseded.end(), hello.incarnation);
  if (superseded != entry.superseded.end()) {
    if (!MayReturn(entry, now)) {
      return {.code = ResultCode::kSuperseded};
    }
    entry.superseded.erase(superseded);
  }
  entry.vacant_since.reset();
  Greeting greeting;
  if (entry.incarnation && *entry.incarnation != hello.incarnation) {
    greeting.ended = this->Supersede(entry);
  }
  entry.incarnation = hello.incarnation;
  entry.sessions.insert(session);
  known = {.entry = hello.entry,
           .incarnation = hello.incarnation,
           .process = {hello.process, hello.process_incarnation},
           .greeted = true};
  this->entry_processes.Join(known.process);
  this->Extend(session, this->LeaseFor(hello.interval), now);
  return greeting;
}

// Incarnations are random, so this agent cannot determine which of two starts
// is the newer. A start that was unknown to this agent, of a process that was
// paused and has ended since, may have superseded the serving start: the
// serving start must not be refused for ever.
bool SessionTable::MayReturn(Entry& entry, Instant now) {
  if (!entry.sessions.empty()) {
    entry.vacant_since.reset();
    return false;
  }
  if (!entry.vacant_since) {
    entry.vacant_since = now;
  }
  return now - *entry.vacant_since >= kVacancy;
}

bool SessionTable::Renew(SessionId session,
                         const protocol::Renew& renew,
                         Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end() || !found->second.greeted ||
      found->second.incarnation != renew.incarnation) {
    return false;
  }
  this->Extend(session, this->LeaseFor(renew.interval), now);
  return true;
}

void SessionTable::Extend(SessionId session, Duration lease, Instant now) {
  const Instant running = this->leases.At(session);
  const Instant renewed = now + lease;
  if (running == kNever || renewed > running) {
    this->leases.Set(session, renewed);
  }
}

std::optional<protocol::HeartbeatAnswer> SessionTable::RenewListed(
    const protocol::Heartbeat& heartbeat,
    Instant now) {
  if (!this->entry_processes.Take(heartbeat)) {
    return std::nullopt;
  }
  const EntryProcesses::Key process{heartbeat.entry, heartbeat.incarnation};
  protocol::HeartbeatAnswer answer{.sequence = heartbeat.sequence,
                                   .lease = this->LeaseFor(heartbeat.interval)};
  for (std::size_t index = 0; index < heartbeat.sessions.size(); ++index) {
    const SessionId session(heartbeat.sessions[index]);
    const auto found = this->sessions.find(session);
    if (found != this->sessions.end() && found->second.greeted &&
        found->second.process == process) {
      this->Extend(session, answer.lease, now);
      answer.renewed |= std::uint64_t{1} << index;
    }
  }
  return answer.renewed == 0 ? std::nullopt : std::optional(answer);
}

Duration SessionTable::LeaseFor(Duration interval) const {
  const Duration wanted =
      std::min(std::max(interval, this->budget.Interval(this->BytesPerRound())),
               this->budget.longest());
  return std::max(this->options.lease, wanted * heartbeat::kIntervalsPerLease);
}

double SessionTable::BytesPerRound() const {
  return static_cast<double>(this->entry_processes.count()) * kHeartbeatBytes;
}

void SessionTable::Close(SessionId session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  if (found->second.greeted) {
    this->entries[found->second.entry].sessions.erase(session);
    this->entry_processes.Leave(found->second.process);
  }
  this->leases.Remove(session);
  this->sessions.erase(found);
}

std::vector<SessionId> SessionTable::Expire(Instant now) {
  std::vector<SessionId> lapsed;
  while (this->options.expire) {
    const std::optional<SessionId> session = this->leases.PopDue(now);
    if (!session) {
      break;
    }
    this->Close(*session);
    lapsed.push_back(*session);
  }
  return lapsed;
}

bool SessionTable::Contains(SessionId session) const {
  return this->sessions.contains(session);
}

std::optional<Incarnation> SessionTable::IncarnationOf(
    SessionId session) const {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end() || !found->second.greeted) {
    return std::nullopt;
  }
  return found->second.incarnation;
}

std::vector<SessionId> SessionTable::Greeted() const {
  std::vector<SessionId> greeted;
  for (const auto& [id, session] : this->sessions) {
    if (session.greeted) {
      greeted.push_back(id);
    }
  }
  std::sort(greeted.begin(), greeted.end());
  return greeted;
}

void SessionTable::RememberBounded(const EntryId& id) {
  if (this->entries.size() < kMaxEntries || this->entries.contains(id)) {
    return;
  }
  std::erase_if(this->entries, [](const auto& entry) {
    return entry.second.sessions.empty();
  });
}

std::vector<SessionId> SessionTable::Supersede(Entry& entry) {
  entry.superseded.push_back(*entry.incarnation);
  if (entry.superseded.size() > kMaxSuperseded) {
    entry.superseded.pop_front();
  }
  std::vector<SessionId> ended(entry.sessions.begin(), entry.sessions.end());
  std::sort(ended.begin(), ended.end());
  for (const SessionId session : ended) {
    this->Close(session);
  }
  return ended;
}

}  // namespace acacialug::agent
