#include "agent/internal/prefix_memory.h"

#include <algorithm>

namespace acacialug::agent {
namespace {

constexpr double kTrustWeight = 0.1;

}  // namespace

double PrefixMemory::CachedTokens(const protocol::PrefixChain& prefix,
                                  std::uint64_t prompt_tokens) const {
  return this->trust * this->MatchedShare(prefix) *
         static_cast<double>(prompt_tokens);
}

void PrefixMemory::OnComputed(const protocol::PrefixChain& prefix,
                              const protocol::Usage& usage) {
  const double matched = this->MatchedShare(prefix) * usage.prompt_tokens;
  if (matched > 0) {
    const double came_true = std::min(1.0, usage.cached_tokens / matched);
    this->trust += kTrustWeight * (came_true - this->trust);
  }
  for (const std::uint64_t piece : prefix) {
    this->Remember(piece);
  }
}

double PrefixMemory::MatchedShare(const protocol::PrefixChain& prefix) const {
  const auto unmatched = std::find_if(
      prefix.begin(), prefix.end(),
      [this](std::uint64_t piece) { return !this->places.contains(piece); });
  return prefix.empty() ? 0
                        : static_cast<double>(unmatched - prefix.begin()) /
                              static_cast<double>(prefix.size());
}

void PrefixMemory::Remember(std::uint64_t piece) {
  const auto known = this->places.find(piece);
  if (known != this->places.end()) {
    this->recent.splice(this->recent.begin(), this->recent, known->second);
    return;
  }
  this->recent.push_front(piece);
  this->places.emplace(piece, this->recent.begin());
  if (this->recent.size() > this->limit) {
    this->places.erase(this->recent.back());
    this->recent.pop_back();
  }
}

}  // namespace acacialug::agent
