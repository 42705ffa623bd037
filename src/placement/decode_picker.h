#ifndef PLACEMENT_DECODE_PICKER_H_
#define PLACEMENT_DECODE_PICKER_H_

#include <cstdint>

#include "placement/types/pick_rule.h"

namespace acacialug::placement {

// Samples a few endpoints and picks the one with the best prediction from the
// time until a slot is free, the round-trip time and the token interval (power
// of two choices; Prequal, NSDI 2024). Cost: O(sampled).
PickRule PickDecodeByPrediction(std::uint32_t sampled);

// The endpoint that is predicted to have a free slot first; null when all were
// tried. Cost: O(candidates).
EndpointView* SoonestFree(Candidates candidates, const PlacementNeed& need);

// Like PickDecodeByPrediction, for calls of a plain service. Predicts by the
// work ahead, the round-trip time, and the measured latency scaled by the
// occupancy.
PickRule PickCallByPrediction(std::uint32_t sampled);

// Baselines that the bench compares with.
PickRule PickRandom();
PickRule PickRoundRobin();
// Least load by the last report, regardless of its age and without corrections.
PickRule PickLeastReported();

}  // namespace acacialug::placement

#endif  // PLACEMENT_DECODE_PICKER_H_
