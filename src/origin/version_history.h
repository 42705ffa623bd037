#ifndef ORIGIN_VERSION_HISTORY_H_
#define ORIGIN_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "origin/types/version_report.h"

namespace acacialug::origin {

// Which software versions each service has had lately. If it has had only one
// for as long as a stream may be continued, every stream of the service began
// at this version. That is unknown to a process that has not seen the service
// for so long, unless a peer or the stored record reports it. Not thread safe;
// `now` never decreases.
class VersionHistory {
 public:
  // A version is introduced, that is, streams begin at it, when any process has
  // known it for this long. A process that does not know it no longer takes
  // another version for the only one of the service by then (StreamOrigins).
  static constexpr Duration kIntroduction = 2s;

  // For how long after its first event a stream may be continued.
  void SetRetention(Duration duration) { this->retention = duration; }
  Duration retention_time() const { return this->retention; }

  // An endpoint of this version has a record.
  void NoteSeen(ServiceKey service, VersionKey version, Instant now);

  // Reports of a peer. Precondition: all those that it has of a service are
  // included, or none.
  void Merge(const std::vector<VersionReport>& reports, Instant now);
  // The stored record of a service. It does not say when its versions were last
  // seen, so that they count from now on, until a peer tells.
  void Merge(const VersionRecord& record, Instant now);

  // All stored records were read. A service without one has had no version that
  // this process does not see from now on: each is recorded when it comes.
  void NoteRecordsRead(Instant now);

  // The only version that the service has had; empty if it had several, or if
  // not all of them are known.
  std::optional<VersionKey> Sole(ServiceKey service, Instant now) const;

  // For how long the version has been known here; zero if it is not.
  Duration KnownFor(ServiceKey service, VersionKey version, Instant now) const;
  // Whether it is known here for kIntroduction, or a peer's report or the
  // stored record says that it is introduced.
  bool Introduced(ServiceKey service, VersionKey version, Instant now) const;
  // Whether all versions of the service that are known here are introduced, or
  // there is one only (Sole), which is the one that other processes know.
  bool AllIntroduced(ServiceKey service, Instant now) const;

  // The versions of the service whose streams a caller may still continue.
  std::vector<VersionKey> Versions(ServiceKey service, Instant now) const;
  std::vector<ServiceKey> Services() const;

  // All that this process knows; `recorded` is not set.
  std::vector<VersionReport> Reports(Instant now) const;

  // Deletes versions whose streams can no longer be continued. Call
  // periodically.
  void Sweep(Instant now);

 private:
  struct Service {
    Instant known_since;
    std::map<VersionKey, Instant> last_seen;
    std::map<VersionKey, Instant> first_known;
    std::set<VersionKey> introduced;  // as peers or the stored record say
    std::set<VersionKey> assumed;     // from the stored record alone
  };

  Service& FindOrCreate(ServiceKey service, Instant now);
  Duration AllKnownFor(const Service& service, Instant now) const;
  static bool IntroducedIn(const Service& service,
                           VersionKey version,
                           Instant now);
  // Drops what is only assumed of a service that a peer knows.
  void DropAssumed(const VersionReport& report, Instant now);

  Duration retention = 60s;
  Instant records_read_at = kNever;
  std::map<ServiceKey, Service> services;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_VERSION_HISTORY_H_
