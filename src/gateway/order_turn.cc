#include "gateway/order_turn.h"

namespace acacialug::gateway {

void OrderTurn::SetFirst(bool first, Instant now) {
  if (!first) {
    this->first_since = kNever;
  } else if (this->first_since == kNever) {
    this->first_since = now;
  }
}

bool OrderTurn::MayClaim(Instant now) const {
  return this->first_since != kNever &&
         now >= this->first_since + this->options.first_for &&
         now >= this->claimed_at + this->options.interval &&
         now >= this->orders_from;
}

void OrderTurn::NoteClaiming(Instant now) {
  this->claimed_at = now;
}

std::optional<std::uint64_t> OrderTurn::OnClaim(std::optional<TurnClaim> claim,
                                                Instant now) {
  // An answer that took long is no turn any more: this process, or the store's
  // answer, stood still meanwhile.
  if (!claim || now > this->claimed_at + this->options.interval) {
    this->holds = false;
    return std::nullopt;
  }
  if (!this->holds && claim->after_another) {
    this->orders_from = now + this->options.pause;
  }
  this->holds = true;
  if (now < this->orders_from) {
    return std::nullopt;
  }
  return claim->fence;
}

}  // namespace acacialug::gateway
