#include "service_levels/service_level_windows.h"

#include <algorithm>

namespace acacialug::service_levels {

ServiceLevelWindows::ServiceLevelWindows(Options windows_options,
                                         Instant windows_started)
    : options(windows_options), started(windows_started) {}

void ServiceLevelWindows::Count(const SeriesKey& key,
                                const LevelCounts& counts,
                                Instant now) {
  Rings& rings = this->Find(key);
  for (std::size_t resolution = 0; resolution < rings.size(); ++resolution) {
    this->CountInRing(resolution, rings[resolution], counts,
                      now - this->started);
  }
}

ServiceLevelWindows::Rings& ServiceLevelWindows::Find(const SeriesKey& key) {
  const auto found = this->rings_by_series.find(key);
  if (found != this->rings_by_series.end()) {
    return found->second;
  }
  const SeriesKey other{.kind = key.kind, .service = std::string(kOtherSeries)};
  const bool full = this->rings_by_series.size() >= this->options.max_series;
  Rings& rings = this->rings_by_series[full ? other : key];
  for (std::size_t resolution = 0; resolution < rings.size(); ++resolution) {
    rings[resolution].bins.resize(kResolutions[resolution].bins);
  }
  return rings;
}

void ServiceLevelWindows::CountInRing(std::size_t resolution,
                                      Ring& ring,
                                      const LevelCounts& counts,
                                      Duration since_start) const {
  const auto size = static_cast<std::int64_t>(ring.bins.size());
  const std::int64_t bin = since_start / kResolutions[resolution].bin;
  // A long time without counts skips many bins; each bin of the ring is cleared
  // at most once.
  for (std::int64_t skipped = std::max(ring.newest + 1, bin - size + 1);
       skipped <= bin; ++skipped) {
    ring.bins[skipped % size] = {};
  }
  ring.newest = std::max(ring.newest, bin);
  ring.bins[ring.newest % size].Add(counts, this->options.max_causes);
}

std::vector<LevelBin> ServiceLevelWindows::ReadRing(
    std::size_t resolution,
    const Ring& ring,
    Duration since_start) const {
  std::vector<LevelBin> bins;
  const Duration length = kResolutions[resolution].bin;
  const auto size = static_cast<std::int64_t>(ring.bins.size());
  const std::int64_t current = std::max(ring.newest, since_start / length);
  for (std::int64_t bin = std::max<std::int64_t>(0, current - size + 1);
       bin <= ring.newest; ++bin) {
    const LevelCounts& counts = ring.bins[bin % size];
    if (!counts.empty()) {
      bins.push_back(
          {.age = std::max(since_start - bin * length, Duration::zero()),
           .counts = counts});
    }
  }
  return bins;
}

LiveLevels ServiceLevelWindows::Read(Instant now) const {
  const Duration since_start = now - this->started;
  LiveLevels levels{.covered = since_start};
  for (const auto& [key, rings] : this->rings_by_series) {
    LiveSeries series{.key = key};
    for (std::size_t resolution = 0; resolution < rings.size(); ++resolution) {
      series.rings[resolution] =
          this->ReadRing(resolution, rings[resolution], since_start);
    }
    levels.series.push_back(std::move(series));
  }
  return levels;
}

}  // namespace acacialug::service_levels
