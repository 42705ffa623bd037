#include "gateway/load_book.h"

#include <algorithm>

#include "placement/types/hashing.h"

namespace acacialug::gateway {

std::uint64_t LoadBook::KeyOf(const EndpointId& endpoint) {
  return placement::HashText(endpoint.text);
}

void LoadBook::TellChange() const {
  if (this->own_change) {
    this->own_change();
  }
}

void LoadBook::AddTotal(std::uint64_t key, const EndpointLoad& load) {
  this->totals[key] += load;
}

void LoadBook::TakeFromTotal(std::uint64_t key, const EndpointLoad& load) {
  const auto total = this->totals.find(key);
  if (total == this->totals.end()) {
    return;
  }
  total->second -= load;
  if (total->second.empty()) {
    this->totals.erase(total);
  }
}

void LoadBook::DropTold(const Told& peer) {
  for (const auto& [key, load] : peer.loads) {
    this->TakeFromTotal(key, load);
  }
}

void LoadBook::Add(const EndpointId& endpoint,
                   const EndpointLoad& load,
                   std::int64_t born) {
  Placed& placed = this->own[endpoint];
  if (born < placed.born) {
    return;
  }
  const std::uint64_t key = KeyOf(endpoint);
  if (born > placed.born) {
    if (!placed.load.empty()) {
      this->TakeFromTotal(key, placed.load);
    }
    placed = {.born = born};
  }
  placed.load += load;
  this->AddTotal(key, load);
  this->TellChange();
}

void LoadBook::Remove(const EndpointId& endpoint,
                      const EndpointLoad& load,
                      std::int64_t born) {
  const auto found = this->own.find(endpoint);
  if (found == this->own.end() || found->second.born != born) {
    return;
  }
  found->second.load -= load;
  if (!load.empty()) {
    this->TakeFromTotal(KeyOf(endpoint), load);
  }
  if (found->second.load.empty()) {
    this->own.erase(found);
  }
  this->TellChange();
}

void LoadBook::Forget(const EndpointId& endpoint) {
  const std::uint64_t key = KeyOf(endpoint);
  for (auto& [peer, entry] : this->told) {
    entry.loads.erase(key);
  }
  this->totals.erase(key);
  if (this->own.erase(endpoint) > 0) {
    this->TellChange();
  }
}

void LoadBook::SetPeer(const std::string& peer,
                       const PeerLoad& load,
                       Instant now) {
  Told& entry = this->told[peer];
  this->DropTold(entry);
  entry.at = now;
  entry.near = load.near;
  entry.loads.clear();
  for (const PeerLoad::Row& row : load.rows) {
    // The first of two rows for one endpoint counts: totals must be the sum of
    // what is kept.
    if (!row.load.empty() &&
        entry.loads.emplace(row.endpoint_key, row.load).second) {
      this->AddTotal(row.endpoint_key, row.load);
    }
  }
}

void LoadBook::Sweep(Instant now) {
  std::erase_if(this->told, [this, now](const auto& peer) {
    const bool silent = peer.second.at + kPeerMemory < now;
    if (silent) {
      this->DropTold(peer.second);
    }
    return silent;
  });
}

EndpointLoad LoadBook::Of(const EndpointId& endpoint) const {
  const auto total = this->totals.find(KeyOf(endpoint));
  return total == this->totals.end() ? EndpointLoad{} : total->second;
}

Duration LoadBook::NewsAge(Nearness from, Instant now) const {
  Duration sum{};
  std::int64_t count = 0;
  for (const auto& [peer, entry] : this->told) {
    if (entry.near == (from == Nearness::kNear)) {
      sum += now - entry.at;
      ++count;
    }
  }
  return count == 0 ? Duration::zero() : sum / count;
}

Duration LoadBook::OldestNews(Instant now) const {
  Duration oldest{};
  for (const auto& [peer, entry] : this->told) {
    oldest = std::max(oldest, now - entry.at);
  }
  return oldest;
}

PeerLoad LoadBook::Own() const {
  PeerLoad load;
  load.rows.reserve(this->own.size());
  for (const auto& [endpoint, placed] : this->own) {
    load.rows.push_back({.endpoint_key = KeyOf(endpoint), .load = placed.load});
  }
  return load;
}

}  // namespace acacialug::gateway
