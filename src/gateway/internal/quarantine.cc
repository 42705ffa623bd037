#include "gateway/internal/quarantine.h"

#include <algorithm>
#include <utility>

#include "framework/global/hex_text.h"
#include "gateway/load_table.h"
#include "placement/types/hashing.h"

namespace acacialug::gateway {
namespace {

using retry::CrashSubject;

// Identifies one start of an endpoint; the same at every process.
std::uint64_t StartKeyOf(const EndpointRecord& endpoint) {
  return placement::RendezvousWeight(
      LoadTable::KeyOf(endpoint.id),
      static_cast<std::uint64_t>(endpoint.started_at_ms));
}

}  // namespace

std::vector<retry::RequestKey> PartKeysOf(const WorkRequest& request) {
  std::vector<retry::RequestKey> keys;
  keys.reserve(request.prompt_parts.size());
  for (const std::string& part : request.prompt_parts) {
    keys.emplace_back(placement::HashText(part));
  }
  return keys;
}

Quarantine::Quarantine(Options quarantine_options,
                       const GatewayHooks& gateway_hooks)
    : on_quarantined(std::move(quarantine_options.on_quarantined)),
      hooks(gateway_hooks),
      request_ledger(quarantine_options.requests),
      part_ledger(quarantine_options.parts) {}

void Quarantine::NoteEnd(const CrashSubjects& subjects,
                         const EndpointRecord& endpoint,
                         std::uint32_t attempt,
                         bool answering) {
  const retry::CrashEnd end{.endpoint = StartKeyOf(endpoint),
                            .attempt = attempt};
  if (this->request_ledger.NoteEnd(subjects.request, end, this->Now())) {
    this->OnQuarantined(this->request_ledger, subjects.request, endpoint.id);
    this->Store(this->request_ledger, subjects.request);
  }
  if (answering) {
    return;
  }
  const std::uint64_t service = placement::HashText(endpoint.service.text);
  auto subject = CrashSubject::kFirstPart;
  for (const retry::RequestKey part : subjects.parts) {
    if (this->part_ledger.NoteEnd(part, end, this->Now(),
                                  {.subject = subject, .service = service})) {
      this->OnQuarantined(this->part_ledger, part, endpoint.id);
      this->Store(this->part_ledger, part);
    }
    subject = CrashSubject::kPart;
  }
}

void Quarantine::NoteBegun(const CrashSubjects& subjects,
                           const ServiceName& service) {
  for (const retry::RequestKey part : subjects.parts) {
    if (this->part_ledger.NoteAnswer(part, this->Now())) {
      this->Store(this->part_ledger, part);
    }
  }
  this->part_ledger.NoteOtherAnswer(placement::HashText(service.text),
                                    subjects.parts, this->Now());
}

void Quarantine::NoteServed(const CrashSubjects& subjects) {
  if (this->request_ledger.NoteAnswer(subjects.request, this->Now())) {
    this->Store(this->request_ledger, subjects.request);
  }
}

Duration Quarantine::TimeLeft(const CrashSubjects& subjects) const {
  const Instant now = this->Now();
  Duration left = this->request_ledger.TimeLeft(subjects.request, now);
  for (const retry::RequestKey part : subjects.parts) {
    left = std::max(left, this->part_ledger.TimeLeft(part, now));
  }
  return left;
}

bool Quarantine::TryProbe(const CrashSubjects& subjects) {
  const Instant now = this->Now();
  if (!this->probes ||
      this->request_ledger.Quarantined(subjects.request, now)) {
    return false;
  }
  const auto quarantined = [this, now](retry::RequestKey part) {
    return this->part_ledger.Quarantined(part, now);
  };
  const auto& parts = subjects.parts;
  const auto first = std::find_if(parts.begin(), parts.end(), quarantined);
  // With two such parts, an end would not tell which one is the cause.
  return std::count_if(first, parts.end(), quarantined) == 1 &&
         this->part_ledger.TryProbe(*first, now);
}

retry::CrashLedger& Quarantine::LedgerOf(CrashSubject subject) {
  return subject == CrashSubject::kRequest ? this->request_ledger
                                           : this->part_ledger;
}

void Quarantine::Merge(const retry::CrashRecord& reported) {
  retry::CrashLedger& ledger = this->LedgerOf(reported.subject);

  if (ledger.Merge(reported, this->Now())) {
    this->OnQuarantined(ledger, reported.request, {});
  }
}

void Quarantine::OnQuarantined(const retry::CrashLedger& ledger,
                               retry::RequestKey key,
                               const EndpointId& endpoint) {
  const retry::CrashRecord record = ledger.RecordOf(key, this->Now());
  this->hooks.log(log::Level::kWarning, "request_quarantined",
                  {.endpoint = endpoint,
                   .fields = {{"subject", NameOf(retry::kCrashSubjectNames,
                                                 record.subject)},
                              {"request_key", HexText(key.value)},
                              {"ends", record.ends.size()},
                              {"left_ms", ledger.TimeLeft(key, this->Now())}}});
  this->on_quarantined();
}

void Quarantine::Store(const retry::CrashLedger& ledger,
                       retry::RequestKey key) const {
  if (this->hooks.on_quarantine) {
    this->hooks.on_quarantine(ledger.RecordOf(key, this->Now()));
  }
}

std::vector<retry::CrashRecord> Quarantine::CollectReports(
    std::size_t max_count,
    std::size_t round) const {
  const Instant now = this->Now();
  const auto count = [&](const retry::CrashLedger& ledger) {
    return ledger.CollectReports(max_count, round, now).size();
  };
  const std::size_t for_parts = std::min(
      count(this->part_ledger),
      std::max(max_count / 2, max_count - count(this->request_ledger)));
  auto reports =
      this->request_ledger.CollectReports(max_count - for_parts, round, now);
  const auto parts = this->part_ledger.CollectReports(for_parts, round, now);
  reports.insert(reports.end(), parts.begin(), parts.end());
  return reports;
}

void Quarantine::ResendReports() {
  this->request_ledger.ResendReports(this->Now());
  this->part_ledger.ResendReports(this->Now());
}

std::vector<retry::CrashRecord> Quarantine::Records() const {
  auto records = this->request_ledger.QuarantinedRecords(this->Now());
  const auto parts = this->part_ledger.QuarantinedRecords(this->Now());
  records.insert(records.end(), parts.begin(), parts.end());
  return records;
}

std::size_t Quarantine::requests() const {
  return this->request_ledger.quarantined(this->Now());
}

std::size_t Quarantine::parts() const {
  return this->part_ledger.quarantined(this->Now());
}

void Quarantine::Sweep() {
  this->request_ledger.Sweep(this->Now());
  for (const retry::RequestKey part : this->part_ledger.Sweep(this->Now())) {
    this->OnQuarantined(this->part_ledger, part, {});
    this->Store(this->part_ledger, part);
  }
}

}  // namespace acacialug::gateway
