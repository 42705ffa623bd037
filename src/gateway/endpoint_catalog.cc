#include "gateway/endpoint_catalog.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "gateway/load_table.h"
#include "gateway/types/store_position.h"

namespace acacialug::gateway {

namespace {

// Whether a record that comes after a return of the store is not newer than the
// last one before, by its writer's numbers.
bool IsOlder(const EndpointRecord& record,
             std::int64_t known_started_at_ms,
             std::uint64_t known_sequence) {
  if (IsRestart(known_started_at_ms, record.started_at_ms)) {
    return record.started_at_ms < known_started_at_ms;
  }
  return record.sequence > 0 && record.sequence <= known_sequence;
}

bool SameButForSequence(const EndpointRecord& left, EndpointRecord right) {
  right.sequence = left.sequence;
  return left == right;
}

}  // namespace

bool EndpointCatalog::InLapseGrace(Instant now) const {
  return (this->store_lost && this->InOutage(now)) ||
         now < std::max(this->grace_until, this->return_grace_until);
}

bool EndpointCatalog::InOutage(Instant now) const {
  return !this->served_at || now - *this->served_at >= kMinLapseOutage;
}

// After a return of the store a record may be missing that its endpoint has
// just renewed.
bool EndpointCatalog::MayHaveLapsed(const Entry& entry, Instant now) const {
  if (now < this->return_grace_until) {
    return true;
  }
  return this->InLapseGrace(now) &&
         (!entry.written_after ||
          Seconds(now - *entry.written_after) >=
              kLapseIntervals * this->renewal_interval.value());
}

void EndpointCatalog::LearnInterval(const Entry& renewed, Instant now) {
  const bool without_gap =
      this->read_at && now - *this->read_at < kMinLapseOutage &&
      renewed.written_after && renewed.received_at >= this->reading_since;
  if (without_gap) {
    this->renewal_interval.Note(Seconds(now - renewed.received_at));
  }
}

void EndpointCatalog::EnterEra(std::uint64_t store_era, Instant now) {
  if (store_era <= this->era) {
    return;
  }
  this->era = store_era;
  if (this->known_up_to == LogOffset()) {
    return;
  }
  // Peers that did not read the store since learn the era by this change.
  this->last_change = std::max(this->last_change, PositionOf(store_era, 0));
  this->return_grace_until = now + kLapseGrace;
  this->deletions_known_from = LogOffset(UINT64_MAX);
  for (auto& [id, entry] : this->entries) {
    if (entry.record.leaving) {
      this->departures[id] = now;
    }
    entry.held_until = std::max(entry.held_until, this->return_grace_until);
  }
}

bool EndpointCatalog::TakeFromCopy(const EndpointChange& change) {
  const auto before = [&change](LogOffset known) {
    return EraOf(known) < EraOf(change.offset);
  };
  const auto found = this->entries.find(change.id);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    const bool older = before(entry.newest()) &&
                       IsOlder(*change.record, entry.record.started_at_ms,
                               entry.record.sequence);
    if (older) {
      entry.offset = change.offset;
      if (entry.lapsed_at) {
        entry.lapsed_at = change.offset;
      }
    }
    return older;
  }
  const auto deletion = this->deletions.find(change.id);
  if (deletion == this->deletions.end() || !before(deletion->second.offset) ||
      !IsOlder(*change.record, deletion->second.started_at_ms,
               deletion->second.sequence)) {
    return false;
  }
  deletion->second.offset = change.offset;
  return true;
}

bool EndpointCatalog::Apply(const EndpointChange& change, Instant now) {
  this->EnterEra(EraOf(change.offset), now);
  this->known_up_to =
      std::max(this->known_up_to, LogOffset(change.offset.value + 1));
  return this->ApplyRecord(change, now, true);
}

bool EndpointCatalog::ApplyRecord(const EndpointChange& change,
                                  Instant now,
                                  bool follows_last) {
  const auto deletion = this->deletions.find(change.id);
  if (deletion != this->deletions.end() &&
      deletion->second.offset >= change.offset) {
    return false;
  }
  const auto found = this->entries.find(change.id);
  if (found != this->entries.end() && found->second.newest() >= change.offset) {
    return false;
  }
  if (!change.record) {
    return this->Delete(change.id, change.offset, now);
  }
  if (this->TakeFromCopy(change)) {
    return false;
  }
  this->deletions.erase(change.id);
  const bool same = found != this->entries.end() && !found->second.lapsed_at &&
                    SameButForSequence(*change.record, found->second.record);
  const bool restarted = found != this->entries.end() &&
                         IsRestart(found->second.record.started_at_ms,
                                   change.record->started_at_ms);
  const bool was_leaving =
      found != this->entries.end() && found->second.record.leaving;
  if (same && follows_last) {
    this->LearnInterval(found->second, now);
  }
  Entry& entry = this->entries[change.id];
  entry = {
      .record = *change.record,
      .offset = change.offset,
      .changed_at = same && follows_last ? entry.changed_at : change.offset,
      .written_after = follows_last ? this->read_at : std::nullopt,
      .received_at = now};
  if (change.record->leaving && !was_leaving) {
    this->ReportDeparture(entry, DepartureStep::kDraining, change.offset, now);
  }
  if (!same) {
    this->NoteChange(change.offset);
  }
  this->EndDeparture(*change.record, restarted, now);
  if (restarted && this->options.on_restart) {
    this->options.on_restart(*change.record);
  }
  return !same;
}

bool EndpointCatalog::NoteDeparture(const EndpointId& id, Instant now) {
  const bool known = this->Leaves(id);
  this->departures[id] = now;
  return !known;
}

void EndpointCatalog::EndDeparture(const EndpointRecord& renewed,
                                   bool restarted,
                                   Instant now) {
  const auto departure = this->departures.find(renewed.id);
  if (departure == this->departures.end()) {
    return;
  }
  const bool stays = !renewed.leaving && !this->InLapseGrace(now) &&
                     now - departure->second >= kDepartureMemory;
  if (restarted || stays) {
    this->departures.erase(departure);
  }
}

bool EndpointCatalog::Leaves(const EndpointId& id) const {
  const EndpointRecord* const record = this->Find(id);
  return (record != nullptr && record->leaving) ||
         this->departures.contains(id);
}

void EndpointCatalog::NoteChange(LogOffset offset) {
  this->last_change = std::max(this->last_change, LogOffset(offset.value + 1));
}

bool EndpointCatalog::Delete(const EndpointId& id,
                             LogOffset offset,
                             Instant now) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end() && !this->Leaves(id) &&
      this->MayHaveLapsed(found->second, now)) {
    Entry& entry = found->second;
    // A later failure must not renew the grace: a store of which a call fails
    // now and then would hold the record back for ever.
    if (!entry.lapsed_at) {
      entry.held_since = now;
      const Instant grace_end =
          std::max(this->grace_until, this->return_grace_until);
      entry.held_until = now < grace_end ? grace_end : now + kLapseGrace;
      this->ReportDeparture(entry, DepartureStep::kHeldBack, offset, now);
    }
    entry.lapsed_at = offset;
    return false;
  }
  return this->Remove(id, offset, now);
}

bool EndpointCatalog::Remove(const EndpointId& id,
                             LogOffset offset,
                             Instant now) {
  Deletion& deletion = this->deletions[id];
  deletion.offset = offset;
  deletion.expires_at = now + kDeletionMemory;
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return false;
  }
  this->ReportDeparture(found->second, DepartureStep::kEnded, offset, now);
  deletion.sequence = found->second.record.sequence;
  deletion.started_at_ms = found->second.record.started_at_ms;
  this->entries.erase(found);
  this->NoteChange(offset);
  return true;
}

bool EndpointCatalog::Apply(const EndpointSnapshot& snapshot, Instant now) {
  this->EnterEra(EraOf(snapshot.as_of), now);
  // A snapshot that is behind this catalog has no new information, and using it
  // would cause errors: an endpoint that it lists and the catalog doesn't has
  // ended, even if this process never knew it and has no deletion of it.
  // Changes since an offset that this process has not reached leave a gap.
  if (snapshot.since > this->complete_to()) {
    return false;
  }
  if (snapshot.as_of <= this->complete_to()) {
    return snapshot.held_back && this->ApplyLater(snapshot, now);
  }
  bool changed = false;
  for (const EndpointChange& change : snapshot.records) {
    changed = this->ApplyRecord(change, now, false) || changed;
  }
  if (snapshot.since == LogOffset()) {
    if (snapshot.partial) {
      this->partial_to = std::max(this->partial_to, snapshot.as_of);
    } else {
      if (snapshot.as_of >= this->partial_to) {
        this->partial_to = {};
      }
      changed = this->RemoveMissing(snapshot, now) || changed;
    }
    // Endpoints that started and ended meanwhile are in no snapshot.
    this->deletions_known_from = snapshot.held_back || snapshot.partial
                                     ? LogOffset(UINT64_MAX)
                                     : snapshot.as_of;
  } else {
    changed = this->RemoveEnded(snapshot, now) || changed;
  }
  if (this->settles_at == kNever) {
    this->settles_at = now + kLapseGrace;
  }
  this->known_up_to = std::max(this->known_up_to, snapshot.as_of);
  return changed;
}

// Behind the end of what this process knows there is nothing that could have
// ended here.
bool EndpointCatalog::ApplyLater(const EndpointSnapshot& snapshot,
                                 Instant now) {
  const auto is_later = [known = this->known_up_to,
                         store_era = this->era](LogOffset offset) {
    return offset >= known && EraOf(offset) == store_era;
  };
  bool changed = false;
  for (const EndpointChange& change : snapshot.records) {
    changed =
        (is_later(change.offset) && this->ApplyRecord(change, now, false)) ||
        changed;
  }
  EndpointSnapshot later{.since = snapshot.since};
  std::copy_if(snapshot.removals.begin(), snapshot.removals.end(),
               std::back_inserter(later.removals),
               [&is_later](const EndpointSnapshot::Removal& removal) {
                 return is_later(removal.offset);
               });
  return this->RemoveEnded(later, now) || changed;
}

bool EndpointCatalog::RemoveMissing(const EndpointSnapshot& snapshot,
                                    Instant now) {
  std::set<EndpointId> present;
  for (const EndpointChange& change : snapshot.records) {
    present.insert(change.id);
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : this->entries) {
    if (!present.contains(id) && entry.offset < snapshot.as_of &&
        (snapshot.settled || !entry.lapsed_at)) {
      missing.push_back(id);
    }
  }
  // The snapshot doesn't contain the offsets of the deletions, which are only
  // known to be before `as_of`. A later offset here would hide the next record
  // of such an endpoint.
  const LogOffset deleted_at(snapshot.as_of.value > 0 ? snapshot.as_of.value - 1
                                                      : 0);
  bool changed = false;
  for (const EndpointId& id : missing) {
    // The sender of a settled snapshot has already waited for lapsed records.
    // The grace of this process must not delay the removal: a process that
    // repeatedly loses and regains the store would wait forever.
    changed = (snapshot.settled ? this->Remove(id, deleted_at, now)
                                : this->Delete(id, deleted_at, now)) ||
              changed;
  }
  return changed;
}

// The ends are in effect at the sender, which waited for lapsed records. An end
// is recorded also of an endpoint that was never known here, for peers that
// knew it.
bool EndpointCatalog::RemoveEnded(const EndpointSnapshot& snapshot,
                                  Instant now) {
  bool changed = false;
  for (const EndpointSnapshot::Removal& removal : snapshot.removals) {
    const auto entry = this->entries.find(removal.id);
    const auto deletion = this->deletions.find(removal.id);
    const bool known = (entry != this->entries.end() &&
                        entry->second.offset >= removal.offset) ||
                       (deletion != this->deletions.end() &&
                        deletion->second.offset >= removal.offset);
    changed =
        (!known && this->Remove(removal.id, removal.offset, now)) || changed;
  }
  return changed;
}

bool EndpointCatalog::KnowsChangesSince(LogOffset since) const {
  return since != LogOffset() && EraOf(since) == this->era &&
         since >= this->deletions_known_from;
}

void EndpointCatalog::NoteStoreRead(Instant asked_at) {
  if (!this->read_at || asked_at - *this->read_at >= kMinLapseOutage) {
    this->reading_since = asked_at;
  }
  this->read_at = std::max(this->read_at, std::optional(asked_at));
}

void EndpointCatalog::NoteStoreServed(Instant at, Instant now) {
  if (this->store_lost && this->InOutage(at)) {
    this->grace_until = now + kLapseGrace;
  }
  this->served_at = std::max(this->served_at, std::optional(at));
}

void EndpointCatalog::ReportDeparture(const Entry& entry,
                                      DepartureStep step,
                                      LogOffset offset,
                                      Instant now) const {
  if (!this->options.on_departure) {
    return;
  }
  const auto since = [now](std::optional<Instant> at) {
    return at ? std::optional(now - *at) : std::nullopt;
  };
  this->options.on_departure(
      {.id = entry.record.id,
       .step = step,
       .offset = offset,
       .silence = since(entry.written_after),
       .unserved = since(this->served_at),
       .held = entry.lapsed_at ? now - entry.held_since : Duration::zero()});
}

void EndpointCatalog::NoteStoreLost() {
  this->store_lost = true;
}

void EndpointCatalog::NoteStoreBack(Instant now) {
  if (!this->store_lost) {
    return;
  }
  this->store_lost = false;
  if (this->InOutage(now)) {
    this->grace_until = now + kLapseGrace;
  }
}

bool EndpointCatalog::Sweep(Instant now) {
  std::vector<std::pair<EndpointId, LogOffset>> expired;
  for (const auto& [id, entry] : this->entries) {
    if (entry.lapsed_at && now >= entry.held_until) {
      expired.emplace_back(id, *entry.lapsed_at);
    }
  }
  for (const auto& [id, offset] : expired) {
    this->Remove(id, offset, now);
  }
  std::erase_if(this->departures, [this, now](const auto& departure) {
    return now - departure.second >= kDepartureMemory &&
           !this->entries.contains(departure.first);
  });
  std::erase_if(this->deletions, [this, now](const auto& deletion) {
    const bool expired = deletion.second.expires_at <= now;
    if (expired) {
      this->deletions_known_from =
          std::max(this->deletions_known_from,
                   LogOffset(deletion.second.offset.value + 1));
    }
    return expired;
  });
  return !expired.empty();
}

LogOffset EndpointCatalog::complete_to() const {
  if (this->partial_to != LogOffset()) {
    return {};
  }
  LogOffset complete = this->known_up_to;
  for (const auto& [id, entry] : this->entries) {
    complete = std::min(complete, entry.lapsed_at.value_or(complete));
  }
  return complete;
}

std::vector<const EndpointRecord*> EndpointCatalog::ForService(
    const ServiceName& service) const {
  std::vector<const EndpointRecord*> usable;
  for (const auto& [id, entry] : this->entries) {
    if (entry.record.service == service && !entry.record.leaving &&
        !this->departures.contains(id)) {
      usable.push_back(&entry.record);
    }
  }
  return usable;
}

void EndpointCatalog::ForEach(
    const std::function<void(const EndpointRecord& record)>& visit) const {
  for (const auto& [id, entry] : this->entries) {
    visit(entry.record);
  }
}

const EndpointRecord* EndpointCatalog::Find(const EndpointId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.record;
}

const EndpointRecord* EndpointCatalog::FindByKey(std::uint64_t key) const {
  for (const auto& [id, entry] : this->entries) {
    if (LoadTable::KeyOf(id) == key) {
      return &entry.record;
    }
  }
  return nullptr;
}

EndpointSnapshot EndpointCatalog::Snapshot(Instant now, LogOffset since) const {
  const bool begun = now >= this->settles_at;
  EndpointSnapshot snapshot{.as_of = this->complete_to(),
                            .settled = !this->InLapseGrace(now) && begun};
  snapshot.held_back = snapshot.as_of < this->known_up_to;
  if (begun && this->KnowsChangesSince(since)) {
    snapshot.since = since;
  }
  for (const auto& [id, entry] : this->entries) {
    if (entry.changed_at >= snapshot.since) {
      snapshot.records.push_back(
          {.offset = entry.offset, .id = id, .record = entry.record});
    }
  }
  if (snapshot.since != LogOffset()) {
    for (const auto& [id, deletion] : this->deletions) {
      if (deletion.offset >= since) {
        snapshot.removals.push_back({.id = id, .offset = deletion.offset});
      }
    }
  }
  return snapshot;
}

}  // namespace acacialug::gateway
