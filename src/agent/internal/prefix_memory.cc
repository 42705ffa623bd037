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
    const double hit_share = std::min(1.0, usage.cached_tokens / matched);
    this->trust += kTrustWeight * (hit_share - this->trust);
  }
  for (const std::uint64_t block : prefix) {
    this->Remember(block);
  }
}

double PrefixMemory::MatchedShare(const protocol::PrefixChain& prefix) const {
  const auto unmatched = std::find_if(
      prefix.begin(), prefix.end(),
      [this](std::uint64_t block) { return !this->positions.contains(block); });
  return prefix.empty() ? 0
                        : static_cast<double>(unmatched - prefix.begin()) /
                              static_cast<double>(prefix.size());
}

void PrefixMemory::Remember(std::uint64_t block) {
  const auto known = this->positions.find(block);
  if (known != this->positions.end()) {
    this->recent.splice(this->recent.begin(), this->recent, known->second);
    return;
  }
  this->recent.push_front(block);
  this->positions.emplace(block, this->recent.begin());
  if (this->recent.size() > this->limit) {
    this->positions.erase(this->recent.back());
    this->recent.pop_back();
  }
}

}  // namespace acacialug::agent
