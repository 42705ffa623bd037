#include "placement/prefix_memory.h"

namespace acacialug::placement {

void PrefixMemory::Remember(std::span<const std::uint64_t> chain,
                            std::uint64_t endpoint) {
  for (const std::uint64_t piece : chain) {
    const auto found = this->by_piece.find(piece);
    if (found != this->by_piece.end()) {
      found->second->endpoint = endpoint;
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      continue;
    }
    this->recent.push_front({.piece = piece, .endpoint = endpoint});
    this->by_piece.emplace(piece, this->recent.begin());
    if (this->recent.size() > this->limit) {
      this->by_piece.erase(this->recent.back().piece);
      this->recent.pop_back();
    }
  }
}

void PrefixMemory::Forget(std::uint64_t piece, std::uint64_t endpoint) {
  const auto found = this->by_piece.find(piece);
  if (found != this->by_piece.end() && found->second->endpoint == endpoint) {
    this->recent.erase(found->second);
    this->by_piece.erase(found);
  }
}

PrefixMemory::Known PrefixMemory::Longest(
    std::span<const std::uint64_t> chain) const {
  for (std::size_t pieces = chain.size(); pieces > 0; --pieces) {
    const auto found = this->by_piece.find(chain[pieces - 1]);
    if (found != this->by_piece.end()) {
      return {.pieces = pieces, .endpoint = found->second->endpoint};
    }
  }
  return {};
}

std::size_t PrefixMemory::PiecesAt(std::span<const std::uint64_t> chain,
                                   std::uint64_t endpoint) const {
  for (std::size_t pieces = chain.size(); pieces > 0; --pieces) {
    const auto found = this->by_piece.find(chain[pieces - 1]);
    if (found != this->by_piece.end() && found->second->endpoint == endpoint) {
      return pieces;
    }
  }
  return 0;
}

}  // namespace acacialug::placement
