#include "origin/version_recorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acacialug::origin {

void VersionRecorder::OnRecord(const VersionRecord& record) {
  Service& service = this->services[record.service];
  service.recorded = {
      .versions = {record.versions.begin(), record.versions.end()},
      .introduced = {record.introduced.begin(), record.introduced.end()}};
  service.requested = {};
}

void VersionRecorder::OnRecordFailed(ServiceKey service) {
  this->services[service].requested = {};
}

void VersionRecorder::OnReported(const VersionReport& report) {
  if (!report.recorded) {
    return;
  }
  Contents& recorded = this->services[report.service].recorded;
  recorded.versions.insert(report.version);
  if (report.introduced) {
    recorded.introduced.insert(report.version);
  }
}

void VersionRecorder::OnStoreReturned() {
  for (auto& [key, service] : this->services) {
    service.recorded = {};
    service.requested = {};
  }
}

bool VersionRecorder::Recorded(ServiceKey service,
                               VersionKey version,
                               bool introduced) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  const Contents& recorded = found->second.recorded;
  return recorded.versions.contains(version) &&
         (!introduced || recorded.introduced.contains(version));
}

bool VersionRecorder::Contents::Includes(const Contents& other) const {
  return std::includes(this->versions.begin(), this->versions.end(),
                       other.versions.begin(), other.versions.end()) &&
         std::includes(this->introduced.begin(), this->introduced.end(),
                       other.introduced.begin(), other.introduced.end());
}

std::vector<VersionRecord> VersionRecorder::TakeDue(
    const VersionHistory& history,
    std::size_t rank,
    Instant now) {
  std::vector<VersionRecord> due;
  if (!this->records_read) {
    return due;
  }
  for (const ServiceKey key : history.Services()) {
    VersionRecord record{.service = key,
                         .versions = history.Versions(key, now)};
    std::copy_if(record.versions.begin(), record.versions.end(),
                 std::back_inserter(record.introduced),
                 [&history, key, now](VersionKey version) {
                   return history.Introduced(key, version, now);
                 });
    Contents wanted{
        .versions = {record.versions.begin(), record.versions.end()},
        .introduced = {record.introduced.begin(), record.introduced.end()}};
    Service& service = this->services[key];
    if (!wanted.versions.empty() && wanted != service.requested &&
        Due(service, wanted, rank, now)) {
      service.requested = std::move(wanted);
      due.push_back(std::move(record));
    }
  }
  return due;
}

bool VersionRecorder::Due(Service& service,
                          const Contents& wanted,
                          std::size_t rank,
                          Instant now) {
  const bool missing = !service.recorded.Includes(wanted);
  const bool surplus = !missing && wanted != service.recorded;
  service.missing_since =
      missing ? std::min(service.missing_since, now) : kNever;
  service.surplus_since =
      surplus ? std::min(service.surplus_since, now) : kNever;
  if (missing) {
    return now - service.missing_since >=
           static_cast<Duration::rep>(rank) * kTurn;
  }
  return surplus && rank == 0 && now - service.surplus_since >= kRemovalDelay;
}

}  // namespace acacialug::origin
