#include "retry/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace acacialug::retry {
namespace {

bool AllFromOneAttempt(const std::vector<CrashEnd>& ends) {
  return std::all_of(ends.begin(), ends.end(), [&ends](const CrashEnd& end) {
    return end.attempt == ends.front().attempt;
  });
}

// Appends elements of `from` until `into` has `max_count`, beginning where the
// previous round ended.
void AppendRoundRobin(const std::vector<RequestKey>& from,
                      std::size_t max_count,
                      std::size_t round,
                      std::vector<RequestKey>& into) {
  const std::size_t free_slots = max_count - std::min(max_count, into.size());
  const std::size_t taken = std::min(free_slots, from.size());
  for (std::size_t number = 0; number < taken; ++number) {
    into.push_back(from[(round * free_slots + number) % from.size()]);
  }
}

}  // namespace

CrashLedger::CrashLedger(Options ledger_options)
    : options(ledger_options), answers(ledger_options.max_answers) {}

bool CrashLedger::NoteEnd(RequestKey request,
                          const CrashEnd& end,
                          Instant now) {
  if (this->AnsweredRecently(request, now)) {
    return false;
  }
  Entry& entry = this->FindOrCreate(request);
  const bool was_quarantined = this->InQuarantine(entry, now);
  this->AddEnd(end, entry.ends);
  entry.last = now;
  this->ScheduleReport(request, entry, now);
  return !was_quarantined && this->InQuarantine(entry, now);
}

bool CrashLedger::NoteAnswer(RequestKey request, Instant now) {
  this->StoreAnswer(request, now);
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  const bool was_quarantined = this->InQuarantine(entry, now);
  entry.ends.clear();
  entry.last = now;
  this->ScheduleReport(request, entry, now);
  return was_quarantined;
}

bool CrashLedger::Merge(const CrashRecord& report, Instant now) {
  const Instant at = now - std::min(report.age, this->options.retention);
  if (report.age >= this->options.retention ||
      this->AnsweredRecently(report.request, now)) {
    return false;
  }
  if (report.ends.empty()) {
    this->MergeAnswer(report.request, at);
    return false;
  }
  Entry& entry = this->FindOrCreate(report.request);
  const bool was_quarantined = this->InQuarantine(entry, now);
  const std::vector<CrashEnd> before = entry.ends;
  for (const CrashEnd& end : report.ends) {
    this->AddEnd(end, entry.ends);
  }
  entry.last = std::max(entry.last, at);
  // Forwards the change to processes that don't receive that peer's reports. A
  // single end is reported only by the process that observed the end.
  if (entry.ends.size() > 1 && entry.ends != before) {
    this->ScheduleReport(report.request, entry, now);
  }
  return !was_quarantined && this->InQuarantine(entry, now);
}

void CrashLedger::MergeAnswer(RequestKey request, Instant at) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    this->StoreAnswer(request, at);
  } else if (found->second.last <= at) {
    this->Erase(found);
    this->StoreAnswer(request, at);
  }
}

void CrashLedger::AddEnd(const CrashEnd& end,
                         std::vector<CrashEnd>& ends) const {
  const bool known = std::any_of(
      ends.begin(), ends.end(),
      [&end](const CrashEnd& other) { return other.endpoint == end.endpoint; });
  if (known) {
    return;
  }
  if (ends.size() < this->options.limit) {
    ends.push_back(end);
  } else if (AllFromOneAttempt(ends)) {
    ends.back() = end;
  }
}

bool CrashLedger::Quarantined(RequestKey request, Instant now) const {
  return this->TimeLeft(request, now) > Duration::zero();
}

Duration CrashLedger::TimeLeft(RequestKey request, Instant now) const {
  const auto found = this->entries.find(request);
  if (found == this->entries.end() || !this->InQuarantine(found->second, now) ||
      this->AnsweredRecently(request, now)) {
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

std::vector<CrashRecord> CrashLedger::CollectReports(std::size_t max_count,
                                                     std::size_t round,
                                                     Instant now) const {
  std::vector<RequestKey> first;
  std::vector<RequestKey> rest;
  for (const RequestKey request : this->reporting) {
    const Entry& entry = this->entries.at(request);
    if (entry.report_until > now) {
      (entry.ends.size() == 1 ? rest : first).push_back(request);
    }
  }
  std::vector<RequestKey> chosen;
  AppendRoundRobin(first, max_count, round, chosen);
  AppendRoundRobin(rest, max_count, round, chosen);
  std::vector<CrashRecord> reports;
  reports.reserve(chosen.size());
  for (const RequestKey request : chosen) {
    reports.push_back(this->RecordOf(request, now));
  }
  return reports;
}

void CrashLedger::ResendReports(Instant now) {
  for (auto& [request, entry] : this->entries) {
    if (entry.ends.size() > 1) {
      this->ScheduleReport(request, entry, now);
    }
  }
}

void CrashLedger::Sweep(Instant now) {
  for (auto next = this->entries.begin(); next != this->entries.end();) {
    const auto entry = next++;
    const bool report_finished = entry->second.report_until <= now;
    if (report_finished) {
      this->reporting.erase(entry->first);
    }
    const bool expired =
        entry->second.ends.empty()
            ? report_finished
            : now - entry->second.last >= this->options.retention;
    if (expired) {
      this->Erase(entry);
    }
  }
}

std::vector<CrashRecord> CrashLedger::QuarantinedRecords(Instant now) const {
  std::vector<CrashRecord> records;
  for (const auto& [request, entry] : this->entries) {
    if (this->InQuarantine(entry, now)) {
      records.push_back(this->RecordOf(request, now));
    }
  }
  return records;
}

std::size_t CrashLedger::quarantined(Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [this, now](const auto& row) {
        return this->Quarantined(row.first, now);
      }));
}

bool CrashLedger::InQuarantine(const Entry& entry, Instant now) const {
  return entry.ends.size() >= this->options.limit &&
         !AllFromOneAttempt(entry.ends) &&
         now - entry.last < this->options.quarantine;
}

bool CrashLedger::AnsweredRecently(RequestKey request, Instant now) const {
  const Answer& answer = this->answers[request.value % this->answers.size()];
  return answer.request == request && answer.at != Instant{} &&
         now - answer.at < this->options.answer_grace;
}

void CrashLedger::StoreAnswer(RequestKey request, Instant answered_at) {
  Answer& kept = this->answers[request.value % this->answers.size()];
  if (kept.at <= answered_at) {
    kept = {.request = request, .at = answered_at};
  }
}

CrashLedger::Entry& CrashLedger::FindOrCreate(RequestKey request) {
  const auto found = this->entries.find(request);
  if (found != this->entries.end()) {
    return found->second;
  }
  this->EvictIfFull();
  return this->entries[request];
}

// Evicts quarantined requests last: a flood of requests that only happened to
// be at an endpoint that ended must not release them from quarantine.
void CrashLedger::EvictIfFull() {
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

void CrashLedger::ScheduleReport(RequestKey request,
                                 Entry& entry,
                                 Instant now) {
  entry.report_until = now + this->options.report_duration;
  this->reporting.insert(request);
}

void CrashLedger::Erase(std::map<RequestKey, Entry>::iterator entry) {
  this->reporting.erase(entry->first);
  this->entries.erase(entry);
}

}  // namespace acacialug::retry
