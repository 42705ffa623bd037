#include "gateway/leader_term.h"

#include <algorithm>

namespace acacialug::gateway {

void LeaderTerm::SetFirst(bool first, Instant now) {
  if (!first) {
    this->first_since = kNever;
    this->term.reset();
  } else if (this->first_since == kNever) {
    this->first_since = now;
  }
}

void LeaderTerm::NoteStoreReturned(Instant now) {
  this->term.reset();
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
  this->term.reset();
}

bool LeaderTerm::FollowsAnother(const TermGrant& grant) const {
  // A term of this process whose grant was lost hides whose term it followed.
  return grant.after_another ||
         (this->granted && grant.fencing_token != *this->granted + 1);
}

std::optional<std::uint64_t> LeaderTerm::OnGrant(std::optional<TermGrant> grant,
                                                 Instant now) {
  if (!grant) {
    return std::nullopt;
  }
  if (this->FollowsAnother(*grant)) {
    this->orders_from = std::max(this->orders_from, now + this->options.pause);
  }
  this->granted = grant->fencing_token;
  if (now < this->orders_from) {
    return std::nullopt;
  }
  this->term = this->granted;
  return this->MayOrder(*this->term, now) ? this->term : std::nullopt;
}

bool LeaderTerm::MayOrder(std::uint64_t fencing_token, Instant now) const {
  // Counted from the request: this process or the store's answer may have been
  // stalled since.
  return this->term == fencing_token && this->first_since != kNever &&
         now <= this->acquiring_since + this->options.interval;
}

}  // namespace acacialug::gateway
