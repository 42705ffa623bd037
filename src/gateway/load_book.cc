#include "gateway/load_book.h"

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

void LoadBook::Add(const EndpointId& endpoint,
                   const EndpointLoad& load,
                   std::int64_t born) {
  Placed& placed = this->own[endpoint];
  if (born < placed.born) {
    return;
  }
  if (born > placed.born) {
    placed = {.born = born};
  }
  placed.load += load;
  this->TellChange();
}

void LoadBook::Remove(const EndpointId& endpoint,
                      const EndpointLoad& load,
                      std::int64_t born) {
  const auto found = this->own.find(endpoint);
  if (found == this->own.end() || found->second.born != born) {
    return;
  }
  EndpointLoad& left = found->second.load;
  left.requests -= load.requests;
  left.kv_tokens -= load.kv_tokens;
  left.prefill_tokens -= load.prefill_tokens;
  if (left.empty()) {
    this->own.erase(found);
  }
  this->TellChange();
}

void LoadBook::Forget(const EndpointId& endpoint) {
  const std::uint64_t key = KeyOf(endpoint);
  for (auto& [peer, entry] : this->told) {
    entry.loads.erase(key);
  }
  if (this->own.erase(endpoint) > 0) {
    this->TellChange();
  }
}

void LoadBook::SetPeer(const std::string& peer,
                       const PeerLoad& load,
                       Instant now) {
  Told& entry = this->told[peer];
  entry.at = now;
  entry.loads.clear();
  for (const PeerLoad::Row& row : load.rows) {
    entry.loads[row.endpoint_key] = row.load;
  }
}

void LoadBook::Sweep(Instant now) {
  std::erase_if(this->told, [now](const auto& peer) {
    return peer.second.at + kPeerMemory < now;
  });
}

EndpointLoad LoadBook::Of(const EndpointId& endpoint) const {
  EndpointLoad sum;
  if (const auto mine = this->own.find(endpoint); mine != this->own.end()) {
    sum = mine->second.load;
  }
  const std::uint64_t key = KeyOf(endpoint);
  for (const auto& [peer, entry] : this->told) {
    if (const auto theirs = entry.loads.find(key);
        theirs != entry.loads.end()) {
      sum += theirs->second;
    }
  }
  return sum;
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
