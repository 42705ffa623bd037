#include "gateway/arrival_count.h"

namespace acacialug::gateway {

void ArrivalCount::NotePrefillAccepted() {
  if (!this->prefill_accepted) {
    this->prefill_accepted = true;
    --this->arrivals;
  }
}

std::uint32_t ArrivalCount::UncoveredByPrefillAndRun() const {
  return this->UncoveredBy(this->prefill_accepted ? 2 : 1);
}

std::uint32_t ArrivalCount::UncoveredBy(std::uint32_t more_messages) const {
  const std::uint32_t known = 1 + this->covered;
  const std::uint32_t expected = this->arrivals + more_messages;
  return expected > known ? expected - known : 0;
}

}  // namespace acacialug::gateway
