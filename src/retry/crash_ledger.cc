#include "retry/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace acacialug::retry {
namespace {

// Ends that are apart in time, as answers to others between them show. A single
// group may be many endpoints that end at once for another reason.
constexpr std::size_t kAnsweredGroups = 2;

bool HasEndpoint(const std::vector<CrashEnd>& ends, std::uint64_t endpoint) {
  return std::any_of(ends.begin(), ends.end(), [endpoint](const CrashEnd& end) {
    return end.endpoint == endpoint;
  });
}

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
                          Instant now,
                          const CrashSite& site) {
  if (this->AnsweredRecently(request, now)) {
    return false;
  }
  const bool known = this->entries.contains(request);
  Entry& entry = this->FindOrCreate(request);
  const bool was_quarantined = this->InQuarantine(entry, now);
  SetSubject(site.subject, known, entry);
  entry.service = site.service;
  entry.probed = entry.probed || entry.probe_until != Instant{};
  this->AddEnd(end, now, entry);
  entry.last = now;
  this->ScheduleReport(request, entry, now);
  return !was_quarantined && this->InQuarantine(entry, now);
}

// A part that begins only some of the prompts is not a first part.
void CrashLedger::SetSubject(CrashSubject subject, bool known, Entry& entry) {
  if (!known || entry.subject == CrashSubject::kFirstPart) {
    entry.subject = subject;
  }
}

bool CrashLedger::NoteAnswer(RequestKey request, Instant now) {
  this->StoreAnswer(request, now);
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  const bool was_quarantined = this->InQuarantine(entry, now);
  Clear(entry, now);
  this->ScheduleReport(request, entry, now);
  return was_quarantined;
}

void CrashLedger::Clear(Entry& entry, Instant answered_at) {
  entry = {.last = answered_at,
           .report_until = entry.report_until,
           .subject = entry.subject};
}

void CrashLedger::NoteOtherAnswer(std::uint64_t service,
                                  const std::vector<RequestKey>& answered,
                                  Instant now) {
  for (auto& [request, entry] : this->entries) {
    if (entry.ends.empty() || entry.service != service ||
        std::find(answered.begin(), answered.end(), request) !=
            answered.end()) {
      continue;
    }
    ++entry.other_answers;
    entry.answered_groups += std::exchange(entry.unanswered_end, false) ? 1 : 0;
    if (entry.evidence_at == Instant{} && this->HasEvidence(entry)) {
      entry.evidence_at = now;
    }
  }
}

bool CrashLedger::HasEvidence(const Entry& entry) const {
  return entry.ends.size() >= this->options.limit &&
         entry.answered_groups >= kAnsweredGroups &&
         entry.other_answers >= this->options.other_answers;
}

bool CrashLedger::Merge(const CrashRecord& report, Instant now) {
  const Duration age = std::min(report.age, this->options.retention);
  if (age >= this->options.retention) {
    return false;
  }
  const bool answered = this->AnsweredRecently(report.request, now);
  if (report.ends.empty()) {
    if (!answered) {
      this->MergeAnswer(report.request, now - age);
    }
    return false;
  }
  std::vector<std::pair<CrashEnd, Instant>> unanswered;
  for (const CrashEnd& end : report.ends) {
    const Instant ended_at = now - std::max(age, end.age);
    if (!this->AnsweredSince(report.request, ended_at)) {
      unanswered.emplace_back(end, ended_at);
    }
  }
  if (unanswered.empty()) {
    this->ReportAnswer(report, now);
  }
  return !unanswered.empty() && !answered &&
         this->MergeEnds(report, unanswered, now);
}

bool CrashLedger::MergeEnds(
    const CrashRecord& report,
    const std::vector<std::pair<CrashEnd, Instant>>& ends,
    Instant now) {
  const bool known = this->entries.contains(report.request);
  Entry& entry = this->FindOrCreate(report.request);
  const bool was_quarantined = this->InQuarantine(entry, now);
  SetSubject(report.subject, known, entry);
  // The last end may be one that the peer does not store.
  entry.last = std::max(entry.last, now - report.age);
  bool changed = false;
  for (const auto& [end, ended_at] : ends) {
    changed = this->AddEnd(end, ended_at, entry) || changed;
  }
  if (report.confirmed && ends.size() == report.ends.size() &&
      !entry.confirmed) {
    entry.confirmed = changed = true;
  }
  // Forwards the change to processes that don't receive that peer's reports. A
  // single end is reported only by the process that observed the end.
  if (entry.ends.size() > 1 && changed) {
    this->ScheduleReport(report.request, entry, now);
  }
  return !was_quarantined && this->InQuarantine(entry, now);
}

void CrashLedger::ReportAnswer(const CrashRecord& report, Instant now) {
  const Answer& answer =
      this->answers[report.request.value % this->answers.size()];
  Entry& entry = this->FindOrCreate(report.request);
  if (entry.ends.empty()) {
    entry.subject = report.subject;
    entry.last = answer.at;
    this->ScheduleReport(report.request, entry, now);
  }
}

void CrashLedger::MergeAnswer(RequestKey request, Instant at) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    this->StoreAnswer(request, at);
  } else if (found->second.last <= at) {
    this->Erase(found);
    this->StoreAnswer(request, at);
  } else if (this->options.answer_grace == Duration::zero()) {
    this->StoreAnswer(request, at);
    DropEndsUntil(at, found->second);
  }
}

void CrashLedger::DropEndsUntil(Instant answered_at, Entry& entry) {
  std::vector<CrashEnd> ends;
  std::vector<Instant> ends_at;
  for (std::size_t number = 0; number < entry.ends.size(); ++number) {
    if (entry.ends_at[number] > answered_at) {
      ends.push_back(entry.ends[number]);
      ends_at.push_back(entry.ends_at[number]);
    }
  }
  if (ends.size() < entry.ends.size()) {
    entry.ends = std::move(ends);
    entry.ends_at = std::move(ends_at);
    // Evidence counts from the first end that is left.
    entry.other_answers = 0;
    entry.answered_groups = 0;
    entry.unanswered_end = true;
    entry.evidence_at = {};
    entry.confirmed = false;
  }
}

bool CrashLedger::AddEnd(const CrashEnd& end,
                         Instant ended_at,
                         Entry& entry) const {
  std::vector<CrashEnd>& ends = entry.ends;
  if (HasEndpoint(ends, end.endpoint)) {
    return false;
  }
  entry.unanswered_end = true;
  if (ends.size() < this->options.max_ends) {
    ends.push_back(end);
    entry.ends_at.push_back(ended_at);
    return true;
  }
  if (!AllFromOneAttempt(ends)) {
    return false;
  }
  ends.back() = end;
  entry.ends_at.back() = ended_at;
  return true;
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

bool CrashLedger::TryProbe(RequestKey request, Instant now) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (entry.probed || now < entry.probe_until ||
      now - entry.last < this->options.probe_after) {
    return false;
  }
  entry.probe_until = now + this->options.probe_after;
  return true;
}

CrashRecord CrashLedger::RecordOf(RequestKey request, Instant now) const {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) {
    return {.request = request};
  }
  const Entry& entry = found->second;
  CrashRecord record{.request = request,
                     .ends = entry.ends,
                     .age = now - entry.last,
                     .subject = entry.subject,
                     .confirmed = entry.confirmed};
  for (std::size_t number = 0; number < record.ends.size(); ++number) {
    record.ends[number].age = now - entry.ends_at[number];
  }
  // The latest ones: peers know the others from earlier records.
  std::stable_sort(record.ends.begin(), record.ends.end(),
                   [](const CrashEnd& left, const CrashEnd& right) {
                     return left.age < right.age;
                   });
  record.ends.resize(std::min(record.ends.size(), this->options.limit));
  return record;
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

std::vector<RequestKey> CrashLedger::Sweep(Instant now) {
  std::vector<RequestKey> quarantined;
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
    } else if (this->Confirm(entry->second, now)) {
      this->ScheduleReport(entry->first, entry->second, now);
      if (this->InQuarantine(entry->second, now)) {
        quarantined.push_back(entry->first);
      }
    }
  }
  return quarantined;
}

bool CrashLedger::Confirm(Entry& entry, Instant now) const {
  if (entry.confirmed || entry.evidence_at == Instant{} ||
      now - entry.evidence_at < this->options.confirm_delay ||
      this->IsExplained(entry) || this->IsExplainedByConfirmed(entry)) {
    return false;
  }
  entry.confirmed = true;
  return true;
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
         now - entry.last < this->options.quarantine &&
         (this->options.other_answers == 0 ||
          (entry.confirmed && !this->IsExplained(entry)));
}

bool CrashLedger::IsExplained(const Entry& entry) const {
  return this->AnyPartAtAllEndsOf(entry, [&entry](const Entry& other) {
    return entry.subject == CrashSubject::kFirstPart ||
           other.ends.size() > entry.ends.size();
  });
}

bool CrashLedger::IsExplainedByConfirmed(const Entry& entry) const {
  return this->AnyPartAtAllEndsOf(
      entry, [](const Entry& other) { return other.confirmed; });
}

bool CrashLedger::AnyPartAtAllEndsOf(
    const Entry& entry,
    const std::function<bool(const Entry& other)>& matches) const {
  return std::any_of(
      this->entries.begin(), this->entries.end(), [&](const auto& row) {
        const Entry& other = row.second;
        return &other != &entry && other.subject == CrashSubject::kPart &&
               matches(other) &&
               std::all_of(entry.ends.begin(), entry.ends.end(),
                           [&other](const CrashEnd& end) {
                             return HasEndpoint(other.ends, end.endpoint);
                           });
      });
}

bool CrashLedger::AnsweredRecently(RequestKey request, Instant now) const {
  const Answer& answer = this->answers[request.value % this->answers.size()];
  return answer.request == request && answer.at != Instant{} &&
         now - answer.at < this->options.answer_grace;
}

bool CrashLedger::AnsweredSince(RequestKey request, Instant since) const {
  const Answer& answer = this->answers[request.value % this->answers.size()];
  return answer.request == request && answer.at != Instant{} &&
         answer.at >= since;
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
