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

// The labels under which everything beyond a bound is counted.
inline constexpr std::string_view kOtherSeries = "other";

// One bin of a ring. Its age, not its instant, leaves the process: no two
// hosts' clocks are compared.
struct LevelBin {
  Duration age{};  // since the bin's begin
  LevelCounts counts;
};

struct LiveSeries {
  SeriesKey key;
  std::array<std::vector<LevelBin>, kResolutions.size()> rings;
};

// The bins of one process, as they are now.
struct LiveLevels {
  Duration covered{};  // since the process began to count
  std::vector<LiveSeries> series;
};

// What the manifest in force asks of a class.
struct Objective {
  SeriesKey key;  // of requests
  double share = 0;
  bool is_model = false;  // has a target for the token interval too
  Duration first_token{};
  Duration token_interval{};
};

// What a process shows to reports.
struct LevelPage {
  EntryId entry;
  Incarnation incarnation;
  LogOffset manifest;  // 0 before the first one
  std::vector<Objective> objectives;
  std::uint64_t missed_digests = 0;  // windows that never reached the log
  std::uint64_t pending_digests = 0;
  LiveLevels levels;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_LIVE_LEVELS_H_
