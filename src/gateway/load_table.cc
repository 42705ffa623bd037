#include "gateway/load_table.h"

#include <algorithm>

#include "placement/types/hashing.h"

namespace acacialug::gateway {

std::uint64_t LoadTable::KeyOf(const EndpointId& endpoint) {
  return placement::HashText(endpoint.text);
}

void LoadTable::NotifyChange() const {
  if (this->own_change_hook) {
    this->own_change_hook();
  }
}

void LoadTable::AddTotal(std::uint64_t key, const EndpointLoad& load) {
  this->totals[key] += load;
}

void LoadTable::SubtractFromTotal(std::uint64_t key, const EndpointLoad& load) {
  const auto total = this->totals.find(key);
  if (total == this->totals.end()) {
    return;
  }
  total->second -= load;
  if (total->second.empty()) {
    this->totals.erase(total);
  }
}

void LoadTable::DropReported(const Reported& peer) {
  for (const auto& [key, load] : peer.loads) {
    this->SubtractFromTotal(key, load);
  }
}

void LoadTable::Add(const EndpointId& endpoint,
                    const EndpointLoad& load,
                    std::int64_t started_at_ms) {
  Placed& placed = this->own_loads[endpoint];
  if (started_at_ms < placed.started_at_ms) {
    return;
  }
  const std::uint64_t key = KeyOf(endpoint);
  if (started_at_ms > placed.started_at_ms) {
    if (!placed.load.empty()) {
      this->SubtractFromTotal(key, placed.load);
    }
    placed = {.started_at_ms = started_at_ms};
  }
  placed.load += load;
  this->AddTotal(key, load);
  this->NotifyChange();
}

void LoadTable::Remove(const EndpointId& endpoint,
                       const EndpointLoad& load,
                       std::int64_t started_at_ms) {
  const auto found = this->own_loads.find(endpoint);
  if (found == this->own_loads.end() ||
      found->second.started_at_ms != started_at_ms) {
    return;
  }
  found->second.load -= load;
  if (!load.empty()) {
    this->SubtractFromTotal(KeyOf(endpoint), load);
  }
  if (found->second.load.empty()) {
    this->own_loads.erase(found);
  }
  this->NotifyChange();
}

void LoadTable::Forget(const EndpointId& endpoint) {
  const std::uint64_t key = KeyOf(endpoint);
  for (auto& [peer, entry] : this->reported) {
    entry.loads.erase(key);
  }
  this->totals.erase(key);
  if (this->own_loads.erase(endpoint) > 0) {
    this->NotifyChange();
  }
}

void LoadTable::SetPeer(const std::string& peer,
                        const PeerLoad& load,
                        Instant now) {
  Reported& entry = this->reported[peer];
  this->DropReported(entry);
  entry.received_at = now;
  entry.near = load.near;
  entry.loads.clear();
  for (const PeerLoad::Row& row : load.rows) {
    // Of two rows for one endpoint the first counts: `totals` must be the sum
    // of the stored loads.
    if (!row.load.empty() &&
        entry.loads.emplace(row.endpoint_key, row.load).second) {
      this->AddTotal(row.endpoint_key, row.load);
    }
  }
}

void LoadTable::Sweep(Instant now) {
  std::erase_if(this->reported, [this, now](const auto& peer) {
    const bool expired = peer.second.received_at + kPeerMemory < now;
    if (expired) {
      this->DropReported(peer.second);
    }
    return expired;
  });
}

EndpointLoad LoadTable::TotalAt(const EndpointId& endpoint) const {
  const auto total = this->totals.find(KeyOf(endpoint));
  return total == this->totals.end() ? EndpointLoad{} : total->second;
}

Duration LoadTable::ReportAge(Nearness from, Instant now) const {
  Duration sum{};
  std::int64_t count = 0;
  for (const auto& [peer, entry] : this->reported) {
    if (entry.near == (from == Nearness::kNear)) {
      sum += now - entry.received_at;
      ++count;
    }
  }
  return count == 0 ? Duration::zero() : sum / count;
}

Duration LoadTable::OldestReportAge(Instant now) const {
  Duration oldest{};
  for (const auto& [peer, entry] : this->reported) {
    oldest = std::max(oldest, now - entry.received_at);
  }
  return oldest;
}

PeerLoad LoadTable::Own() const {
  PeerLoad load;
  load.rows.reserve(this->own_loads.size());
  for (const auto& [endpoint, placed] : this->own_loads) {
    load.rows.push_back({.endpoint_key = KeyOf(endpoint), .load = placed.load});
  }
  return load;
}

}  // namespace acacialug::gateway
