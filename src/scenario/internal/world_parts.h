#ifndef SCENARIO_INTERNAL_WORLD_PARTS_H_
#define SCENARIO_INTERNAL_WORLD_PARTS_H_

#include <functional>

#include "framework/global/types/identifiers.h"
#include "once/work_key.h"
#include "scenario/internal/manifest_feed.h"
#include "scenario/types/world_options.h"
#include "standin/platform_models.h"

namespace acacialug::scenario {

class Callers;
class Checker;
class Network;

// The wall clock of every host of a world; virtual time starts at 1000 s.
inline once::WallMilliseconds WallClock(Instant now) {
  return once::WallMilliseconds(1'700'000'000'000) +
         std::chrono::duration_cast<once::WallMilliseconds>(
             now.time_since_epoch());
}

// What the processes of one world share; all outlive them.
struct WorldParts {
  const WorldOptions& options;
  EventQueue& queue;
  PlatformLog& log;
  Network& network;
  Callers& callers;
  Checker& checker;
  std::function<PeerManifest(LogOffset)> peer_manifest;
  standin::WeightStoreModel* weights;  // null: loads need no permit
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_WORLD_PARTS_H_
