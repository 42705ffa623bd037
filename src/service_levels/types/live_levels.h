#ifndef SERVICE_LEVELS_TYPES_LIVE_LEVELS_H_
#define SERVICE_LEVELS_TYPES_LIVE_LEVELS_H_

#include <array>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "service_levels/types/level_counts.h"
#include "service_levels/types/resolutions.h"

namespace acacialug::service_levels {

// The service label of the series that counts all label sets above the bound.
inline constexpr std::string_view kOtherSeries = "other";

// One bin of a ring. The process exposes the bin's age instead of its instant,
// so that the clocks of two hosts are never compared.
struct LevelBin {
  Duration age{};  // since the bin began
  LevelCounts counts;
};

struct LiveSeries {
  SeriesKey key;
  std::array<std::vector<LevelBin>, kResolutions.size()> rings;
};

// The current bins of one process.
struct LiveLevels {
  Duration covered{};  // since the process began counting
  std::vector<LiveSeries> series;
};

// The target that the active manifest sets for a latency class.
struct Objective {
  SeriesKey key;  // of kind kRequests
  double share = 0;
  bool is_model = false;  // also has a target for the token interval
  Duration first_token{};
  Duration token_interval{};
};

// The service levels that a process exposes to reports.
struct LevelPage {
  EntryId entry;
  Incarnation incarnation;
  LogOffset manifest;  // 0 before the first manifest
  std::vector<Objective> objectives;
  std::uint64_t missed_digests = 0;  // windows that never reached the log
  std::uint64_t pending_digests = 0;
  LiveLevels levels;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_LIVE_LEVELS_H_
