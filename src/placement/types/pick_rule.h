#ifndef PLACEMENT_TYPES_PICK_RULE_H_
#define PLACEMENT_TYPES_PICK_RULE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <span>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "placement/endpoint_view.h"

namespace acacialug::placement {

// The endpoints of a pool that are available for new work.
using Candidates = std::span<EndpointView* const>;

// The requirements of the work to be placed.
struct PlacementNeed {
  std::uint64_t kv_tokens = 0;      // decode
  std::uint64_t prompt_tokens = 0;  // prefill
  std::span<const std::uint64_t> prefix;
  std::uint32_t block_tokens = 0;  // prompt tokens per block of `prefix`
  bool repeated = false;  // the prompt was computed before for this request
  std::span<const std::uint64_t> tried;  // keys of endpoints to exclude
  Instant now{};

  bool Tried(const EndpointView& view) const {
    return std::find(this->tried.begin(), this->tried.end(), view.Key()) !=
           this->tried.end();
  }
};

// Picks one of the untried candidates; null when there is none. Each rule is
// called with the candidates of one pool only.
using PickRule = std::function<
    EndpointView*(Candidates, const PlacementNeed&, RandomSource&)>;

}  // namespace acacialug::placement

#endif  // PLACEMENT_TYPES_PICK_RULE_H_
