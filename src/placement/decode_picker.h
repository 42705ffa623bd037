#ifndef PLACEMENT_DECODE_PICKER_H_
#define PLACEMENT_DECODE_PICKER_H_

#include <cstdint>

#include "placement/types/pick_rule.h"

namespace acacialug::placement {

// Few sampled endpoints, the best predicted one of them: time until a slot is
// free, the way there and back, and the pace of its tokens (power of two
// choices; Prequal, NSDI 2024). Cost: O(sampled).
PickRule PickDecodeByPrediction(std::uint32_t sampled);

// The endpoint that is predicted free soonest; null when all were tried.
// Cost: O(candidates).
EndpointView* SoonestFree(Candidates candidates, const PlacementNeed& need);

// The same for calls of a plain service: occupancy times measured latency,
// plus the way there and back.
PickRule PickCallByPrediction(std::uint32_t sampled);

// The baselines that the bench compares with.
PickRule PickRandom();
PickRule PickRoundRobin();
// Least load by the last report, however old and uncorrected.
PickRule PickLeastReported();

}  // namespace acacialug::placement

#endif  // PLACEMENT_DECODE_PICKER_H_
