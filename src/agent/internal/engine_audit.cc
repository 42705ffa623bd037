#include "agent/internal/engine_audit.h"

#include <algorithm>

namespace acacialug::agent {

bool EngineAudit::TakeDue(Instant now) {
  if (now < this->next_listing) {
    return false;
  }
  this->requested_at = now;
  this->next_listing = now + this->options.answer_timeout;
  return true;
}

std::vector<AttemptId> EngineAudit::OnHeld(const std::vector<AttemptId>& held,
                                           const OwnsHook& owns,
                                           Instant now) {
  this->ForgetOld(now);
  std::vector<AttemptId> orphans;
  for (const AttemptId& attempt : held) {
    const auto recent = this->released.find(attempt);
    const bool just_released =
        recent != this->released.end() &&
        recent->second + this->options.interval > this->requested_at;
    if (!owns(attempt) && !just_released) {
      orphans.push_back(attempt);
    }
  }
  this->answered = true;
  this->retry = this->options.min_retry;
  this->next_listing = now + this->options.interval;
  return orphans;
}

void EngineAudit::OnListFailed(Instant now) {
  this->next_listing = now + this->retry;
  this->retry = std::min(2 * this->retry, this->options.interval);
}

void EngineAudit::NoteReleased(const AttemptId& attempt, Instant now) {
  this->ForgetOld(now);
  this->released[attempt] = now;
  this->release_order.emplace_back(now, attempt);
}

void EngineAudit::ForgetOld(Instant now) {
  const Duration memory =
      2 * this->options.interval + this->options.answer_timeout;
  while (!this->release_order.empty() &&
         (this->release_order.front().first + memory <= now ||
          this->release_order.size() > this->options.max_recent)) {
    const auto [at, attempt] = this->release_order.front();
    this->release_order.pop_front();
    const auto found = this->released.find(attempt);
    if (found != this->released.end() && found->second == at) {
      this->released.erase(found);
    }
  }
}

}  // namespace acacialug::agent
