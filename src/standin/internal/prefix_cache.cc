#include "standin/internal/prefix_cache.h"

#include <utility>

namespace acacialug::standin {

PrefixCache::PrefixCache(Options cache_options)
    : options(std::move(cache_options)) {}

std::size_t PrefixCache::Find(const protocol::PrefixChain& chain) {
  std::size_t found = 0;
  while (found < chain.size() && this->places.contains(chain[found])) {
    ++found;
  }
  this->TouchFirst(chain, found);
  return found;
}

void PrefixCache::Store(const protocol::PrefixChain& chain) {
  // Only the beginning of a chain that is longer than the cache is kept.
  const std::size_t count =
      std::min<std::size_t>(chain.size(), this->options.capacity);
  for (std::size_t index = count; index-- > 0;) {
    if (!this->places.contains(chain[index])) {
      this->recent.push_front(chain[index]);
      this->places[chain[index]] = this->recent.begin();
      this->options.on_event(CacheEventKind::kStored, chain[index]);
    }
  }
  this->TouchFirst(chain, count);
  while (this->recent.size() > this->options.capacity) {
    const std::uint64_t oldest = this->recent.back();
    this->recent.pop_back();
    this->places.erase(oldest);
    this->options.on_event(CacheEventKind::kRemoved, oldest);
  }
}

void PrefixCache::Clear() {
  for (const std::uint64_t hash : this->recent) {
    this->options.on_event(CacheEventKind::kRemoved, hash);
  }
  this->recent.clear();
  this->places.clear();
}

void PrefixCache::TouchFirst(const protocol::PrefixChain& chain,
                             std::size_t count) {
  for (std::size_t index = count; index-- > 0;) {
    const auto place = this->places.at(chain[index]);
    this->recent.splice(this->recent.begin(), this->recent, place);
  }
}

}  // namespace acacialug::standin
