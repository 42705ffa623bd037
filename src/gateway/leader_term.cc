#include "gateway/leader_term.h"

#include <algorithm>

namespace acacialug::gateway {

void LeaderTerm::SetFirst(bool first, Instant now) {
  if (!first) {
    this->first_since = kNever;
  } else if (this->first_since == kNever) {
    this->first_since = now;
  }
}

void LeaderTerm::NoteStoreReturned(Instant now) {
  this->holds = false;
  this->orders_from = std::max(this->orders_from, now + this->options.pause);
}

bool LeaderTerm::MayAcquire(Instant now) const {
  return this->first_since != kNever &&
         now >= this->first_since + this->options.first_for &&
         now >= this->acquiring_since + this->options.interval &&
         now >= this->orders_from;
}

void LeaderTerm::NoteAcquiring(Instant now) {
  this->acquiring_since = now;
}

std::optional<std::uint64_t> LeaderTerm::OnGrant(std::optional<TermGrant> grant,
                                                 Instant now) {
  // A late grant is not used: this process or the store's answer was stalled
  // meanwhile.
  if (!grant || now > this->acquiring_since + this->options.interval) {
    this->holds = false;
    return std::nullopt;
  }
  if (!this->holds && grant->after_another) {
    this->orders_from = now + this->options.pause;
  }
  this->holds = true;
  if (now < this->orders_from) {
    return std::nullopt;
  }
  return grant->fencing_token;
}

}  // namespace acacialug::gateway
