#include "origin/stream_ledger.h"

#include <algorithm>

namespace acacialug::origin {

void StreamLedger::Note(const StreamOrigin& origin, bool own, Instant now) {
  if (origin.left <= Duration::zero()) {
    return;
  }
  if (this->entries.size() >= this->options.max_streams &&
      !this->entries.contains(origin.stream)) {
    this->entries.erase(this->expiries.front().second);
    this->expiries.pop_front();
  }
  const Instant expires_at = now + origin.left;
  const auto [found, added] = this->entries.try_emplace(origin.stream);
  Entry& entry = found->second;
  if (added) {
    entry = {.origin = origin, .expires_at = expires_at, .own = own};
  } else {
    Merge(origin, entry);
    if (entry.expires_at >= expires_at) {
      entry.own = entry.own || own;
      return;
    }
    entry.expires_at = expires_at;
    entry.own = entry.own || own;
  }
  this->expiries.emplace_back(expires_at, origin.stream);
}

void StreamLedger::Merge(const StreamOrigin& origin, Entry& entry) {
  StreamOrigin& known = entry.origin;
  if (origin.attempt == known.attempt) {
    if (origin.placement > known.placement) {
      known = origin;
    }
  } else if (origin.version != known.version) {
    known.version = VersionKey();
  }
}

StreamOrigin StreamLedger::Read(const Entry& entry, Instant now) {
  StreamOrigin origin = entry.origin;
  origin.left = entry.expires_at - now;
  return origin;
}

std::optional<StreamOrigin> StreamLedger::Find(StreamKey stream,
                                               Instant now) const {
  const auto found = this->entries.find(stream);
  if (found == this->entries.end() || found->second.expires_at <= now) {
    return std::nullopt;
  }
  return Read(found->second, now);
}

std::vector<StreamOrigin> StreamLedger::Own(Instant now) const {
  std::vector<StreamOrigin> own;
  for (const auto& [stream, entry] : this->entries) {
    if (entry.own && entry.expires_at > now) {
      own.push_back(Read(entry, now));
    }
  }
  return own;
}

void StreamLedger::Sweep(Instant now) {
  while (!this->expiries.empty() && this->expiries.front().first <= now) {
    const auto found = this->entries.find(this->expiries.front().second);
    if (found != this->entries.end() && found->second.expires_at <= now) {
      this->entries.erase(found);
    }
    this->expiries.pop_front();
  }
}

}  // namespace acacialug::origin
