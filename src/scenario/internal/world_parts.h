#ifndef SCENARIO_INTERNAL_WORLD_PARTS_H_
#define SCENARIO_INTERNAL_WORLD_PARTS_H_

#include <functional>
#include <string>
#include <utility>

#include "framework/global/types/identifiers.h"
#include "once/work_key.h"
#include "scenario/types/world_options.h"

namespace acacialug::scenario {

class Callers;
class Checker;
class EventQueue;
class Network;
class PlatformLog;

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
  // The text of a manifest of that offset or later, as some other live process
  // has it, and its offset; empty if none does.
  std::function<std::pair<LogOffset, std::string>(LogOffset)> peer_manifest;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_WORLD_PARTS_H_
