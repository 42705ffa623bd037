#ifndef GATEWAY_ENDPOINT_CATALOG_H_
#define GATEWAY_ENDPOINT_CATALOG_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "forecast/learned_quantile.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_record.h"

namespace acacialug::gateway {

enum class DepartureStep { kDraining, kHeldBack, kEnded };
inline constexpr EnumNames<DepartureStep, 3> kDepartureStepNames = {
    {{DepartureStep::kDraining, "draining"},
     {DepartureStep::kHeldBack, "held_back"},
     {DepartureStep::kEnded, "ended"}}};

// A step of an endpoint's departure, as its record shows it.
struct Departure {
  EndpointId id;
  DepartureStep step = DepartureStep::kEnded;
  LogOffset offset;  // of the record or the deletion
  // Upper bound of the time since the endpoint last renewed its record. Empty:
  // its record came from a peer, or with all records.
  std::optional<Duration> silence;
  // Time since the store was last known to serve. Empty: never.
  std::optional<Duration> unserved;
  // kEnded: time for which the deletion was held back.
  Duration held{};
};

// The endpoints that have a record, from the store's log or from peers that
// read it. Updates are ordered by their position in the log (store_position.h),
// so that a late update, or one from a peer that lags, never restores a deleted
// endpoint. When the store returns from an older copy, an endpoint's own
// numbers tell its new records from those of the copy. Not thread safe.
class EndpointCatalog {
 public:
  // Records lapse during an outage of the store, since endpoints can't renew
  // them. A deletion that may be such a lapse, and is first seen within this
  // time after the store's recovery, takes effect only at its end. Endpoints
  // write their records again within 2 s; the other 0.5 s is for a reader that
  // polls.
  static constexpr Duration kLapseGrace = 2500ms;
  // In a shorter outage an endpoint misses one renewal at most, and no record
  // lapses.
  static constexpr Duration kMinLapseOutage = 1s;
  // A record lapses when it has not been renewed for three intervals. One that
  // was renewed since was deleted because its endpoint left.
  static constexpr double kLapseIntervals = 3;
  // A deletion is kept for this long, so that a peer's older snapshot does not
  // restore the endpoint. It is longer than a peer's updates can lag.
  static constexpr Duration kDeletionMemory = 60s;

  // A record that an endpoint renews as ready counts against its answer that it
  // leaves only after this time: the store may have accepted the record late,
  // and an endpoint that leaves may stay for many seconds.
  static constexpr Duration kDepartureMemory = 60s;

  // Hooks may be empty.
  struct Options {
    // Runs with the new record of an endpoint that restarted under its id.
    std::function<void(const EndpointRecord& started)> on_restart;
    std::function<void(const Departure& departure)> on_departure;
  };

  EndpointCatalog() : EndpointCatalog(Options{}) {}
  explicit EndpointCatalog(Options catalog_options)
      : options(std::move(catalog_options)) {}

  // Both return whether the catalog changed.
  bool Apply(const EndpointChange& change, Instant now);
  bool Apply(const EndpointSnapshot& snapshot, Instant now);

  // An answer of the endpoint said that it leaves. This counts until the
  // endpoint ends or restarts, or has renewed its record as ready after
  // kDepartureMemory. Returns whether it was unknown.
  bool NoteDeparture(const EndpointId& id, Instant now);

  // A call of this process failed, or one succeeded again. It was an outage
  // only if nobody is known to have been served for kMinLapseOutage meanwhile.
  void NoteStoreLost();
  void NoteStoreBack(Instant now);

  // This process has read from the store all records that it had at `asked_at`.
  void NoteStoreRead(Instant asked_at);
  // The store was seen to serve at this time, by this process or by a peer.
  void NoteStoreServed(Instant at, Instant now);

  // The store returned from an older copy, in this era. Records that the copy
  // lacks have until the end of a grace to be written again, and endpoints that
  // were leaving still leave. Does nothing for an era that is known.
  void EnterEra(std::uint64_t store_era, Instant now);

  // Ends expired graces and drops expired deletions. Returns whether the
  // catalog changed. Call it every 100 ms.
  bool Sweep(Instant now);

  // Endpoints of a service that take new work. The pointers are valid until the
  // next change.
  std::vector<const EndpointRecord*> ForService(
      const ServiceName& service) const;
  // Returns null for an endpoint that is unknown or has ended.
  const EndpointRecord* Find(const EndpointId& id) const;
  // Whether the endpoint leaves, by its record or its answers.
  bool Leaves(const EndpointId& id) const;
  // As Find, by LoadTable::KeyOf of its id. The cost is linear in the number of
  // endpoints.
  const EndpointRecord* FindByKey(std::uint64_t key) const;

  void ForEach(
      const std::function<void(const EndpointRecord& record)>& visit) const;

  // All known records, for peers, with the offset up to which they are
  // complete. For a peer that knows all changes before `since`, only what
  // changed from there on, if this catalog can tell that.
  EndpointSnapshot Snapshot(Instant now, LogOffset since = {}) const;
  // All changes before this offset are known and in effect; zero after a
  // partial snapshot.
  LogOffset complete_to() const;
  // The offset after the last record that changed the catalog. Most records
  // change nothing, since endpoints renew theirs every second.
  LogOffset changed_to() const { return this->last_change; }
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    EndpointRecord record;
    LogOffset offset;
    // Of the last record that differed from the one before by more than its
    // sequence number.
    LogOffset changed_at;
    // The offset of a deletion that has not taken effect yet.
    std::optional<LogOffset> lapsed_at = {};
    // The endpoint wrote the record after this. Empty: unknown, since it came
    // with all records or from a peer.
    std::optional<Instant> written_after = {};
    Instant received_at{};
    // When `lapsed_at` was set, and when it takes effect.
    Instant held_since{};
    Instant held_until{};

    LogOffset newest() const { return this->lapsed_at.value_or(this->offset); }
  };
  struct Deletion {
    LogOffset offset;
    Instant expires_at;
    // Of the endpoint's last record; 0: unknown.
    std::uint64_t sequence = 0;
    std::int64_t started_at_ms = 0;
  };

  // `follows_last`: no record of the endpoint lies between this one and the one
  // that is known. Those of snapshots may have changed and changed back.
  bool ApplyRecord(const EndpointChange& change,
                   Instant now,
                   bool follows_last);
  // Takes the position of a record that the store's copy brought back, if that
  // is what the change is, and returns whether it was.
  bool TakeFromCopy(const EndpointChange& change);
  bool Delete(const EndpointId& id, LogOffset offset, Instant now);
  bool Remove(const EndpointId& id, LogOffset offset, Instant now);
  void NoteChange(LogOffset offset);
  // Removes the endpoints that the snapshot's sender knows to have ended;
  // returns whether there were any.
  bool RemoveEnded(const EndpointSnapshot& snapshot, Instant now);
  bool RemoveMissing(const EndpointSnapshot& snapshot, Instant now);
  // Applies what a sender that holds records back knows beyond its position.
  bool ApplyLater(const EndpointSnapshot& snapshot, Instant now);
  bool KnowsChangesSince(LogOffset since) const;
  void EndDeparture(const EndpointRecord& renewed, bool restarted, Instant now);
  bool InLapseGrace(Instant now) const;
  bool InOutage(Instant now) const;
  // Whether a deletion of the record that is seen now may be a lapse.
  bool MayHaveLapsed(const Entry& entry, Instant now) const;
  void LearnInterval(const Entry& renewed, Instant now);
  void ReportDeparture(const Entry& entry,
                       DepartureStep step,
                       LogOffset offset,
                       Instant now) const;

  const Options options;
  std::map<EndpointId, Entry> entries;
  std::map<EndpointId, Deletion> deletions;
  // When an endpoint's last answer said that it leaves.
  std::map<EndpointId, Instant> departures;
  std::uint64_t era = 0;
  LogOffset known_up_to;
  // Records before this offset are missing; zero: none are.
  LogOffset partial_to;
  LogOffset last_change;
  // All endpoints that ended from this offset on are in `deletions`.
  LogOffset deletions_known_from = LogOffset(UINT64_MAX);
  std::optional<Instant> read_at;    // as NoteStoreRead
  std::optional<Instant> served_at;  // as NoteStoreServed
  Instant reading_since{};           // without a gap
  forecast::LearnedQuantile renewal_interval{
      {.quantile = 0.5, .prior = 1, .min_value = 0.1, .max_value = 10}};  // s
  bool store_lost = false;
  Instant grace_until{};         // after an outage
  Instant return_grace_until{};  // after a return from an older copy
  Instant settles_at = kNever;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ENDPOINT_CATALOG_H_
