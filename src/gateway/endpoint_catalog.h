#ifndef GATEWAY_ENDPOINT_CATALOG_H_
#define GATEWAY_ENDPOINT_CATALOG_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_record.h"

namespace acacialug::gateway {

// The endpoints that have a record, from the store's log or from peers that
// read it. News is taken by its offset in the log, so that what comes late or
// from a peer that lags never brings back what is gone. Not thread safe.
class EndpointCatalog {
 public:
  // Records lapse while their store is out, since their endpoints cannot renew
  // them; a deletion that is first seen within this time of the store's return
  // is believed only at the end of it. Endpoints are back within two seconds;
  // the half is for a reader that polls.
  static constexpr Duration kLapseGrace = 2500ms;
  // A deletion is remembered for this long, so that a peer's older snapshot
  // does not bring the endpoint back. Longer than a peer's news can lag.
  static constexpr Duration kDeletionMemory = 60s;

  // `on_restart`, unless empty, runs with the new record of an endpoint that
  // started again under its id.
  explicit EndpointCatalog(
      std::function<void(const EndpointRecord& started)> on_restart = {})
      : restart_hook(std::move(on_restart)) {}

  // True when the catalog changed.
  bool Apply(const EndpointChange& change, Instant now);
  bool Apply(const EndpointSnapshot& snapshot, Instant now);

  // The store stopped, or began again, to serve this process.
  void NoteStoreLost();
  void NoteStoreBack(Instant now);

  // Ends graces and memories that are over. True when the catalog changed.
  // Call it now and then (each 100 ms).
  bool Sweep(Instant now);

  // Endpoints of a service that take new work; good until the next change.
  std::vector<const EndpointRecord*> ForService(
      const ServiceName& service) const;
  // Null: not known, or gone.
  const EndpointRecord* Find(const EndpointId& id) const;
  // The same by LoadTable::KeyOf its id; looks at all of them.
  const EndpointRecord* FindByKey(std::uint64_t key) const;

  // For peers: all that is known, with the offset that it is complete to.
  EndpointSnapshot Snapshot(Instant now) const;
  // Changes before it are known and believed.
  LogOffset complete_to() const;
  // Behind the last record that changed anything: endpoints write each second
  // to show that they live.
  LogOffset changed_to() const { return this->last_change; }
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    EndpointRecord record;
    LogOffset offset;
    // Of its deletion, which is not believed yet.
    std::optional<LogOffset> lapsed_at = {};

    LogOffset newest() const { return this->lapsed_at.value_or(this->offset); }
  };
  struct Deletion {
    LogOffset offset;
    Instant forgotten_at;
  };

  bool Delete(const EndpointId& id, LogOffset offset, Instant now);
  bool Remove(const EndpointId& id, LogOffset offset, Instant now);
  void NoteChange(LogOffset offset);
  bool InLapseGrace(Instant now) const;

  const std::function<void(const EndpointRecord& started)> restart_hook;
  std::map<EndpointId, Entry> entries;
  std::map<EndpointId, Deletion> deletions;
  LogOffset known_to;
  LogOffset last_change;
  bool store_lost = false;
  Instant grace_until{};
  Instant settles_at = kNever;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_CATALOG_H_
