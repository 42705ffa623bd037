#include "origin/version_recorder.h"

#include <algorithm>

namespace acacialug::origin {

void VersionRecorder::OnRecord(const VersionRecord& record) {
  Service& service = this->services[record.service];
  service.recorded = {record.versions.begin(), record.versions.end()};
  service.requested.clear();
}

void VersionRecorder::OnRecordFailed(ServiceKey service) {
  this->services[service].requested.clear();
}

void VersionRecorder::OnReported(const VersionReport& report) {
  if (report.recorded) {
    this->services[report.service].recorded.insert(report.version);
  }
}

void VersionRecorder::OnStoreReturned() {
  for (auto& [key, service] : this->services) {
    service.recorded.clear();
    service.requested.clear();
  }
}

bool VersionRecorder::Recorded(ServiceKey service, VersionKey version) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         found->second.recorded.contains(version);
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
    const std::vector<VersionKey> versions = history.Versions(key, now);
    const std::set<VersionKey> wanted(versions.begin(), versions.end());
    Service& service = this->services[key];
    if (!wanted.empty() && wanted != service.requested &&
        Due(service, wanted, rank, now)) {
      service.requested = wanted;
      due.push_back({.service = key, .versions = versions});
    }
  }
  return due;
}

bool VersionRecorder::Due(Service& service,
                          const std::set<VersionKey>& wanted,
                          std::size_t rank,
                          Instant now) {
  const bool missing =
      !std::includes(service.recorded.begin(), service.recorded.end(),
                     wanted.begin(), wanted.end());
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
