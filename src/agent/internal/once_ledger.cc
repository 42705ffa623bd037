#include "agent/internal/once_ledger.h"

#include <algorithm>

namespace acacialug::agent {
namespace {

std::uint64_t SizeOf(const protocol::ServiceAnswer& answer) {
  std::uint64_t size = sizeof(answer) + answer.body.size();
  for (const protocol::HeaderField& header : answer.headers) {
    size += sizeof(header) + header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace

OnceVerdict OnceLedger::Begin(const protocol::Once& once, Instant now) {
  const OnceVerdict verdict = this->Find(once, now);
  if (verdict == OnceVerdict::kRun) {
    this->records.emplace(KeyOf(once), RecordOf(once));
  }
  return verdict;
}

OnceVerdict OnceLedger::LookUp(const protocol::Once& once, Instant now) {
  const OnceVerdict verdict = this->Find(once, now);
  if (verdict != OnceVerdict::kRun) {
    return verdict;
  }
  const Key key = KeyOf(once);
  Record& record = this->records.emplace(key, RecordOf(once)).first->second;
  this->Settle(key, record, State::kSealed, now);
  return OnceVerdict::kSealed;
}

const protocol::ServiceAnswer* OnceLedger::AnswerOf(
    const protocol::Once& once) const {
  const auto found = this->records.find(KeyOf(once));
  return found != this->records.end() && found->second.answer
             ? &*found->second.answer
             : nullptr;
}

void OnceLedger::Complete(const protocol::Once& once,
                          const protocol::ServiceAnswer& answer,
                          Instant now) {
  const Key key = KeyOf(once);
  const auto found = this->records.find(key);
  if (found == this->records.end() || found->second.state != State::kRunning) {
    return;
  }
  this->Settle(key, found->second, State::kCompleted, now);
  const std::uint64_t size = SizeOf(answer);
  if (size > this->options.max_bytes) {
    return;
  }
  found->second.answer = answer;
  this->answered.push_back(key);
  this->bytes += size;
  while (this->bytes > this->options.max_bytes) {
    const Key oldest = this->answered.front();
    this->answered.pop_front();
    this->DropAnswer(this->records.at(oldest));
  }
}

void OnceLedger::SetUnknown(const protocol::Once& once, Instant now) {
  const Key key = KeyOf(once);
  const auto found = this->records.find(key);
  if (found != this->records.end() && found->second.state == State::kRunning) {
    this->Settle(key, found->second, State::kUnknown, now);
  }
}

void OnceLedger::Release(const protocol::Once& once) {
  const auto found = this->records.find(KeyOf(once));
  if (found != this->records.end() && found->second.state == State::kRunning) {
    this->records.erase(found);
  }
}

OnceLedger::Key OnceLedger::KeyOf(const protocol::Once& once) {
  return {.high = once.key_high, .low = once.key_low};
}

OnceLedger::Record OnceLedger::RecordOf(const protocol::Once& once) {
  return {
      .fingerprint = once.fingerprint, .kind = once.kind, .claim = once.claim};
}

// An unknown key may be a key that ran and was forgotten. Claims are ordered by
// their position in the log and tickets by their time of issue, so this needs
// no clock except the clock that issued the ticket.
bool OnceLedger::MayBeForgotten(const protocol::Once& once) const {
  switch (once.kind) {
    case protocol::OnceKind::kClaim:
      return once.claim <= this->forgotten_claims;
    case protocol::OnceKind::kTicket:
      return once.key_high <= this->forgotten_tickets;
    case protocol::OnceKind::kIdempotent:
      break;
  }
  return false;
}

OnceVerdict OnceLedger::Find(const protocol::Once& once, Instant now) {
  this->Forget(now);
  // An earlier start on this host may have run the key, and its ledger ended
  // with it. Only the start to which the key was bound knows the outcome.
  if (once.home != this->options.home) {
    return OnceVerdict::kWrongHome;
  }
  const auto found = this->records.find(KeyOf(once));
  if (found == this->records.end()) {
    if (this->MayBeForgotten(once)) {
      return OnceVerdict::kTooOld;
    }
    return this->records.size() >= this->options.max_keys ? OnceVerdict::kFull
                                                          : OnceVerdict::kRun;
  }
  const Record& record = found->second;
  if (record.fingerprint != once.fingerprint) {
    return OnceVerdict::kKeyReused;
  }
  switch (record.state) {
    case State::kRunning:
      return OnceVerdict::kStillRunning;
    case State::kUnknown:
      return OnceVerdict::kUnknown;
    case State::kSealed:
      return OnceVerdict::kSealed;
    case State::kCompleted:
      break;
  }
  return record.answer ? OnceVerdict::kAnswered : OnceVerdict::kAnswerGone;
}

void OnceLedger::Settle(const Key& key,
                        Record& record,
                        State state,
                        Instant now) {
  record.state = state;
  this->settled.emplace_back(now, key);
}

void OnceLedger::DropAnswer(Record& record) {
  this->bytes -= SizeOf(*record.answer);
  record.answer.reset();
}

void OnceLedger::Forget(Instant now) {
  while (!this->settled.empty() &&
         this->settled.front().first + this->options.window <= now) {
    const Key key = this->settled.front().second;
    this->settled.pop_front();
    Record& record = this->records.at(key);
    this->forgotten_claims = std::max(this->forgotten_claims, record.claim);
    if (record.kind == protocol::OnceKind::kTicket) {
      this->forgotten_tickets = std::max(this->forgotten_tickets, key.high);
    }
    if (record.answer) {
      // Answers settle in the same order as their keys.
      this->answered.pop_front();
      this->DropAnswer(record);
    }
    this->records.erase(key);
  }
}

}  // namespace acacialug::agent
