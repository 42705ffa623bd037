#ifndef ORIGIN_VERSION_RECORDER_H_
#define ORIGIN_VERSION_RECORDER_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "origin/types/version_report.h"
#include "origin/version_history.h"

namespace acacialug::origin {

// Decides when this process writes a service's versions to the store: processes
// that all restart at once have no peer to learn them from. A record has every
// version at which a stream may have begun that can still be continued, so that
// a version is added at once and removed late. One process writes; the others
// follow in turn if they do not hear that it has. Not thread safe; `now` never
// decreases.
class VersionRecorder {
 public:
  // Between the writes of two processes that come next to each other.
  static constexpr Duration kTurn = 400ms;
  // A version is removed this long after it can no longer be continued, when
  // all processes agree.
  static constexpr Duration kRemovalDelay = 5s;

  // The stored record, as read from the store, or written by this process.
  void OnRecord(const VersionRecord& record);
  // All stored records were read. Nothing is written before: a record names
  // versions that this process has not seen, and would lose them.
  void OnRecordsRead() { this->records_read = true; }
  // The record that was taken was not written.
  void OnRecordFailed(ServiceKey service);
  // A peer knows the version to be in the stored record.
  void OnReported(const VersionReport& report);
  // The store returned from an older copy: records may be lost.
  void OnStoreReturned();

  // Whether the stored record has the version, and as introduced if that is
  // asked.
  bool Recorded(ServiceKey service, VersionKey version, bool introduced) const;

  // The records to write now. `rank`: the number of live processes whose turn
  // comes before that of this process. Call it every 100 ms or so.
  std::vector<VersionRecord> TakeDue(const VersionHistory& history,
                                     std::size_t rank,
                                     Instant now);

 private:
  // What a record says.
  struct Contents {
    std::set<VersionKey> versions;
    std::set<VersionKey> introduced;

    bool Includes(const Contents& other) const;
    friend bool operator==(const Contents&, const Contents&) = default;
  };
  struct Service {
    Contents recorded;
    Contents requested;  // the last record that was taken
    Instant missing_since = kNever;
    Instant surplus_since = kNever;
  };

  static bool Due(Service& service,
                  const Contents& wanted,
                  std::size_t rank,
                  Instant now);

  bool records_read = false;
  std::map<ServiceKey, Service> services;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_VERSION_RECORDER_H_
