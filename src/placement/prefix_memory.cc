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

std::size_t PrefixMemory::SharedPieces(
    std::span<const std::uint64_t> chain) const {
  std::size_t shared = 0;
  while (shared < chain.size() && this->by_piece.contains(chain[shared])) {
    ++shared;
  }
  return shared;
}

std::size_t PrefixMemory::PiecesAt(std::span<const std::uint64_t> chain,
                                   std::uint64_t endpoint) const {
  std::size_t pieces = 0;
  while (pieces < chain.size()) {
    const auto found = this->by_piece.find(chain[pieces]);
    if (found == this->by_piece.end() || found->second->endpoint != endpoint) {
      break;
    }
    ++pieces;
  }
  return pieces;
}

}  // namespace acacialug::placement
