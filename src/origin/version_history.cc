#include "origin/version_history.h"

#include <algorithm>
#include <utility>

namespace acacialug::origin {

VersionHistory::Service& VersionHistory::FindOrCreate(ServiceKey service,
                                                      Instant now) {
  return this->services.try_emplace(service, Service{.known_since = now})
      .first->second;
}

void VersionHistory::NoteRecordsRead(Instant now) {
  this->records_read_at = std::min(this->records_read_at, now);
}

void VersionHistory::NoteSeen(ServiceKey key, VersionKey version, Instant now) {
  Service& service = this->FindOrCreate(key, now);
  service.last_seen[version] = now;
  service.first_known.try_emplace(version, now);
  service.assumed.erase(version);
}

void VersionHistory::DropAssumed(const VersionReport& report, Instant now) {
  Service& service = this->FindOrCreate(report.service, now);
  if (report.known_for >= this->retention) {
    for (const VersionKey version : std::exchange(service.assumed, {})) {
      service.last_seen.erase(version);
    }
  }
}

void VersionHistory::Merge(const std::vector<VersionReport>& reports,
                           Instant now) {
  for (const VersionReport& report : reports) {
    this->DropAssumed(report, now);
  }
  for (const VersionReport& report : reports) {
    Service& service = this->FindOrCreate(report.service, now);
    const Instant reported = now - report.age;
    Instant& seen =
        service.last_seen.try_emplace(report.version, reported).first->second;
    seen = std::max(seen, reported);
    service.first_known.try_emplace(report.version, now);
    if (report.introduced) {
      service.introduced.insert(report.version);
    }
    service.known_since = std::min(service.known_since, now - report.known_for);
  }
}

void VersionHistory::Merge(const VersionRecord& record, Instant now) {
  Service& service = this->FindOrCreate(record.service, now);
  for (const VersionKey version : record.versions) {
    if (service.last_seen.try_emplace(version, now).second) {
      service.assumed.insert(version);
    }
    service.first_known.try_emplace(version, now);
  }
  for (const VersionKey version : record.introduced) {
    if (service.first_known.contains(version)) {
      service.introduced.insert(version);
    }
  }
  service.known_since = std::min(service.known_since, now - this->retention);
}

Duration VersionHistory::AllKnownFor(const Service& service,
                                     Instant now) const {
  const Duration known_for = now - service.known_since;
  return now >= this->records_read_at ? std::max(known_for, this->retention)
                                      : known_for;
}

std::optional<VersionKey> VersionHistory::Sole(ServiceKey service,
                                               Instant now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() ||
      this->AllKnownFor(found->second, now) < this->retention) {
    return std::nullopt;
  }
  const std::vector<VersionKey> versions = this->Versions(service, now);
  return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

Duration VersionHistory::KnownFor(ServiceKey service,
                                  VersionKey version,
                                  Instant now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return {};
  }
  const auto known = found->second.first_known.find(version);
  return known == found->second.first_known.end() ? Duration()
                                                  : now - known->second;
}

bool VersionHistory::IntroducedIn(const Service& service,
                                  VersionKey version,
                                  Instant now) {
  const auto known = service.first_known.find(version);
  return known != service.first_known.end() &&
         (now - known->second >= kIntroduction ||
          service.introduced.contains(version));
}

bool VersionHistory::Introduced(ServiceKey service,
                                VersionKey version,
                                Instant now) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         IntroducedIn(found->second, version, now);
}

bool VersionHistory::AllIntroduced(ServiceKey key, Instant now) const {
  const auto found = this->services.find(key);
  if (found == this->services.end()) {
    return true;
  }
  const Service& service = found->second;
  return std::all_of(service.first_known.begin(), service.first_known.end(),
                     [&service, now](const auto& entry) {
                       return IntroducedIn(service, entry.first, now);
                     }) ||
         this->Sole(key, now).has_value();
}

std::vector<VersionKey> VersionHistory::Versions(ServiceKey service,
                                                 Instant now) const {
  std::vector<VersionKey> versions;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return versions;
  }
  for (const auto& [version, seen] : found->second.last_seen) {
    if (now - seen <= this->retention) {
      versions.push_back(version);
    }
  }
  return versions;
}

std::vector<ServiceKey> VersionHistory::Services() const {
  std::vector<ServiceKey> keys;
  keys.reserve(this->services.size());
  for (const auto& [key, service] : this->services) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<VersionReport> VersionHistory::Reports(Instant now) const {
  std::vector<VersionReport> reports;
  for (const auto& [key, service] : this->services) {
    for (const auto& [version, seen] : service.last_seen) {
      if (now - seen <= this->retention) {
        reports.push_back({.service = key,
                           .version = version,
                           .age = now - seen,
                           .known_for = this->AllKnownFor(service, now),
                           .introduced = this->Introduced(key, version, now)});
      }
    }
  }
  return reports;
}

void VersionHistory::Sweep(Instant now) {
  for (auto& [key, service] : this->services) {
    std::erase_if(service.last_seen, [this, now](const auto& entry) {
      return now - entry.second > this->retention;
    });
    std::erase_if(service.first_known,
                  [&seen = service.last_seen](const auto& entry) {
                    return !seen.contains(entry.first);
                  });
    std::erase_if(service.introduced,
                  [&seen = service.last_seen](VersionKey version) {
                    return !seen.contains(version);
                  });
  }
}

}  // namespace acacialug::origin
