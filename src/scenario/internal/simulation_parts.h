#ifndef SCENARIO_INTERNAL_SIMULATION_PARTS_H_
#define SCENARIO_INTERNAL_SIMULATION_PARTS_H_

#include <functional>

#include "framework/global/types/identifiers.h"
#include "once/work_key.h"
#include "scenario/internal/manifest_feed.h"
#include "scenario/types/simulation_options.h"
#include "standin/platform_models.h"

namespace acacialug::scenario {

class Callers;
class Checker;
class Network;

// The wall clock of every host; virtual time starts at 1000 s.
inline once::WallMilliseconds WallClock(Instant now) {
  return once::WallMilliseconds(1'700'000'000'000) +
         std::chrono::duration_cast<once::WallMilliseconds>(
             now.time_since_epoch());
}

// What the processes of one simulation share; all outlive them.
struct SimulationParts {
  const SimulationOptions& options;
  EventQueue& queue;
  PlatformLog& log;
  Network& network;
  Callers& callers;
  Checker& checker;
  std::function<PeerManifest(LogOffset)> peer_manifest;
  standin::WeightStoreModel* weights;  // null: loads need no permit
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_SIMULATION_PARTS_H_
