#include "retry/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace acacialug::retry {
namespace {

bool OfOneAttempt(const std::vector<CrashEnd>& ends) {
  return std::all_of(ends.begin(), ends.end(), [&ends](const CrashEnd& end) {
    return end.attempt == ends.front().attempt;
  });
}

// Of `from`, beginning where the rounds before ended.
void TakeInTurn(const std::vector<RequestKey>& from,
                std::size_t most,
                std::size_t round,
                std::vector<RequestKey>& into) {
  const std::size_t room = most - std::min(most, into.size());
  const std::size_t taken = std::min(room, from.size());
  for (std::size_t number = 0; number < taken; ++number) {
    into.push_back(from[(round * room + number) % from.size()]);
  }
}

}  // namespace

CrashLedger::CrashLedger(Options ledger_options)
    : options(ledger_options), answers(ledger_options.most_answers) {}

bool CrashLedger::NoteEnd(RequestKey request,
                          const CrashEnd& end,
                          Instant now) {
  if (this->Trusted(request, now)) {
    return false;
  }
  Entry& entry = this->Touch(request);
  const bool held = this->Holds(entry, now);
  this->Add(end, entry.ends);
  entry.last = now;
  this->TellOf(request, entry, now);
  return !held && this->Holds(entry, now);
}

bool CrashLedger::NoteAnswer(RequestKey request, Instant now) {
  this->Remember(request, now);
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  const bool held = this->Holds(entry, now);
  entry.ends.clear();
  entry.last = now;
  this->TellOf(request, entry, now);
  return held;
}

bool CrashLedger::Merge(const CrashRecord& told, Instant now) {
  const Instant at = now - std::min(told.age, this->options.memory);
  if (told.age >= this->options.memory || this->Trusted(told.request, now)) {
    return false;
  }
  if (told.ends.empty()) {
    this->MergeAnswer(told.request, at);
    return false;
  }
  Entry& entry = this->Touch(told.request);
  const bool held = this->Holds(entry, now);
  const std::vector<CrashEnd> before = entry.ends;
  for (const CrashEnd& end : told.ends) {
    this->Add(end, entry.ends);
  }
  entry.last = std::max(entry.last, at);
  // Who does not hear that peer hears this process; a single end is left to
  // the one that saw it.
  if (entry.ends.size() > 1 && entry.ends != before) {
    this->TellOf(told.request, entry, now);
  }
  return !held && this->Holds(entry, now);
}

void CrashLedger::MergeAnswer(RequestKey request, Instant at) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    this->Remember(request, at);
  } else if (found->second.last <= at) {
    this->Erase(found);
    this->Remember(request, at);
  }
}

void CrashLedger::Add(const CrashEnd& end, std::vector<CrashEnd>& ends) const {
  const bool known = std::any_of(
      ends.begin(), ends.end(),
      [&end](const CrashEnd& other) { return other.endpoint == end.endpoint; });
  if (known) {
    return;
  }
  if (ends.size() < this->options.limit) {
    ends.push_back(end);
  } else if (OfOneAttempt(ends)) {
    ends.back() = end;
  }
}

bool CrashLedger::Quarantined(RequestKey request, Instant now) const {
  return this->TimeLeft(request, now) > Duration::zero();
}

Duration CrashLedger::TimeLeft(RequestKey request, Instant now) const {
  const auto found = this->entries.find(request);
  if (found == this->entries.end() || !this->Holds(found->second, now) ||
      this->Trusted(request, now)) {
    return Duration::zero();
  }
  return found->second.last + this->options.quarantine - now;
}

CrashRecord CrashLedger::RecordOf(RequestKey request, Instant now) const {
  const auto found = this->entries.find(request);
  return found == this->entries.end()
             ? CrashRecord{.request = request}
             : CrashRecord{.request = request,
                           .ends = found->second.ends,
                           .age = now - found->second.last};
}

std::vector<CrashRecord> CrashLedger::CollectReports(std::size_t most,
                                                     std::size_t round,
                                                     Instant now) const {
  std::vector<RequestKey> first;
  std::vector<RequestKey> rest;
  for (const RequestKey request : this->telling) {
    const Entry& entry = this->entries.at(request);
    if (entry.told_until > now) {
      (entry.ends.size() == 1 ? rest : first).push_back(request);
    }
  }
  std::vector<RequestKey> chosen;
  TakeInTurn(first, most, round, chosen);
  TakeInTurn(rest, most, round, chosen);
  std::vector<CrashRecord> told;
  told.reserve(chosen.size());
  for (const RequestKey request : chosen) {
    told.push_back(this->RecordOf(request, now));
  }
  return told;
}

void CrashLedger::ResendReports(Instant now) {
  for (auto& [request, entry] : this->entries) {
    if (entry.ends.size() > 1) {
      this->TellOf(request, entry, now);
    }
  }
}

void CrashLedger::Sweep(Instant now) {
  for (auto next = this->entries.begin(); next != this->entries.end();) {
    const auto entry = next++;
    const bool told = entry->second.told_until <= now;
    if (told) {
      this->telling.erase(entry->first);
    }
    const bool over = entry->second.ends.empty()
                          ? told
                          : now - entry->second.last >= this->options.memory;
    if (over) {
      this->Erase(entry);
    }
  }
}

std::size_t CrashLedger::quarantined(Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [this, now](const auto& row) {
        return this->Quarantined(row.first, now);
      }));
}

bool CrashLedger::Holds(const Entry& entry, Instant now) const {
  return entry.ends.size() >= this->options.limit &&
         !OfOneAttempt(entry.ends) &&
         now - entry.last < this->options.quarantine;
}

bool CrashLedger::Trusted(RequestKey request, Instant now) const {
  const Answer& answer = this->answers[request.value % this->answers.size()];
  return answer.request == request && answer.at != Instant{} &&
         now - answer.at < this->options.trust;
}

void CrashLedger::Remember(RequestKey request, Instant answered_at) {
  Answer& kept = this->answers[request.value % this->answers.size()];
  if (kept.at <= answered_at) {
    kept = {.request = request, .at = answered_at};
  }
}

CrashLedger::Entry& CrashLedger::Touch(RequestKey request) {
  const auto found = this->entries.find(request);
  if (found != this->entries.end()) {
    return found->second;
  }
  this->MakeRoom();
  return this->entries[request];
}

// Those that are quarantined go last: a flood of requests that were merely at
// an endpoint that ended must not free them.
void CrashLedger::MakeRoom() {
  if (this->entries.size() < this->options.max_requests) {
    return;
  }
  this->Erase(std::min_element(
      this->entries.begin(), this->entries.end(),
      [](const auto& left, const auto& right) {
        return std::pair(left.second.ends.size(), left.second.last) <
               std::pair(right.second.ends.size(), right.second.last);
      }));
}

void CrashLedger::TellOf(RequestKey request, Entry& entry, Instant now) {
  entry.told_until = now + this->options.telling;
  this->telling.insert(request);
}

void CrashLedger::Erase(std::map<RequestKey, Entry>::iterator entry) {
  this->telling.erase(entry->first);
  this->entries.erase(entry);
}

}  // namespace acacialug::retry
