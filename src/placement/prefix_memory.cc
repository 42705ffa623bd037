#include "placement/prefix_memory.h"

namespace acacialug::placement {

void PrefixMemory::Remember(std::span<const std::uint64_t> chain,
                            std::uint64_t endpoint) {
  for (const std::uint64_t block : chain) {
    const auto found = this->by_block.find(block);
    if (found != this->by_block.end()) {
      found->second->endpoint = endpoint;
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      continue;
    }
    this->recent.push_front({.block = block, .endpoint = endpoint});
    this->by_block.emplace(block, this->recent.begin());
    if (this->recent.size() > this->limit) {
      this->by_block.erase(this->recent.back().block);
      this->recent.pop_back();
    }
  }
}

void PrefixMemory::Forget(std::uint64_t block, std::uint64_t endpoint) {
  const auto found = this->by_block.find(block);
  if (found != this->by_block.end() && found->second->endpoint == endpoint) {
    this->recent.erase(found->second);
    this->by_block.erase(found);
  }
}

PrefixMemory::Known PrefixMemory::Longest(
    std::span<const std::uint64_t> chain) const {
  for (std::size_t blocks = chain.size(); blocks > 0; --blocks) {
    const auto found = this->by_block.find(chain[blocks - 1]);
    if (found != this->by_block.end()) {
      return {.blocks = blocks, .endpoint = found->second->endpoint};
    }
  }
  return {};
}

std::size_t PrefixMemory::BlocksAt(std::span<const std::uint64_t> chain,
                                   std::uint64_t endpoint) const {
  for (std::size_t blocks = chain.size(); blocks > 0; --blocks) {
    const auto found = this->by_block.find(chain[blocks - 1]);
    if (found != this->by_block.end() && found->second->endpoint == endpoint) {
      return blocks;
    }
  }
  return 0;
}

}  // namespace acacialug::placement
