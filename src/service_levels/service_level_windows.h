#ifndef SERVICE_LEVELS_SERVICE_LEVEL_WINDOWS_H_
#define SERVICE_LEVELS_SERVICE_LEVEL_WINDOWS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/instant.h"
#include "service_levels/types/level_counts.h"
#include "service_levels/types/live_levels.h"
#include "service_levels/types/resolutions.h"

namespace acacialug::service_levels {

// The service levels of one process, over windows from five minutes to thirty
// days. No I/O and no clock. Memory is bounded: at most `max_series` sets of
// labels and those named `other`, and in each bin `max_causes` causes and
// the cause `other`; docs/CAPACITY.md gives the size in bytes.
//
// Not thread safe. Bins follow the caller's monotonic clock, so a step of the
// wall clock doesn't shift, duplicate or drop a bin. A `now` that goes
// backwards counts into the newest bin.
class ServiceLevelWindows {
 public:
  struct Options {
    std::size_t max_series = 64;
    std::size_t max_causes = 12;
  };

  // `started` is the age of the oldest data.
  ServiceLevelWindows(Options options, Instant started);

  // Adds to the bin of `now` in every ring.
  void Count(const SeriesKey& key, const LevelCounts& counts, Instant now);

  // Returns all bins that are not empty, with their ages.
  LiveLevels Read(Instant now) const;

  std::size_t series() const { return this->rings_by_series.size(); }

 private:
  // Bin `n` covers [n * bin, (n + 1) * bin) since the start, and has the index
  // n modulo the number of bins.
  struct Ring {
    std::vector<LevelCounts> bins;
    std::int64_t newest = 0;
  };
  using Rings = std::array<Ring, kResolutions.size()>;

  Rings& Find(const SeriesKey& key);
  void CountInRing(std::size_t resolution,
                   Ring& ring,
                   const LevelCounts& counts,
                   Duration since_start) const;
  std::vector<LevelBin> ReadRing(std::size_t resolution,
                                 const Ring& ring,
                                 Duration since_start) const;

  Options options;
  Instant started;
  std::map<SeriesKey, Rings> rings_by_series;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_SERVICE_LEVEL_WINDOWS_H_
