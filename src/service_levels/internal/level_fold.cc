#include "service_levels/level_fold.h"

#include <algorithm>

#include "service_levels/digest_codec.h"

namespace acacialug::service_levels {
namespace {

constexpr Resolution kTimeline = kResolutions[kTimelineResolution];

void AddLiveSeries(const LiveSeries& series, SeriesSums& sums) {
  for (std::size_t window = 0; window < kReportWindows.size(); ++window) {
    const ReportWindow& report = kReportWindows[window];
    for (const LevelBin& bin : series.rings[report.resolution]) {
      if (bin.age < report.length) {
        sums.windows[window].Add(bin.counts);
      }
    }
  }
  for (const LevelBin& bin : series.rings[kTimelineResolution]) {
    const auto index = static_cast<std::size_t>(bin.age / kTimeline.bin);
    if (index < sums.timeline.size()) {
      sums.timeline[index].Add(bin.counts);
    }
  }
}

void AddLoggedCounts(const LevelCounts& counts,
                     Duration middle_age,
                     SeriesSums& sums) {
  for (std::size_t window = 0; window < kReportWindows.size(); ++window) {
    if (middle_age < kReportWindows[window].length) {
      sums.windows[window].Add(counts);
    }
  }
  const auto index = static_cast<std::size_t>(middle_age / kTimeline.bin);
  if (index < sums.timeline.size()) {
    sums.timeline[index].Add(counts);
  }
}

}  // namespace

void LevelFold::AddLive(const LevelPage& page) {
  if (!this->live.insert({page.entry, page.incarnation}).second) {
    return;
  }
  LevelSummary& into = this->summary;
  ++into.live_processes;
  into.missed_windows += page.missed_digests;
  into.covered = std::max(into.covered, page.levels.covered);
  if (page.manifest >= into.manifest && !page.objectives.empty()) {
    into.manifest = page.manifest;
    into.objectives = page.objectives;
  }
  for (const LiveSeries& series : page.levels.series) {
    AddLiveSeries(series, into.series[series.key]);
  }
}

void LevelFold::AddRecord(std::string_view payload) {
  const Result<Digest> digest = DecodeDigest(payload);
  if (!digest.ok()) {
    ++this->summary.bad_records;
    return;
  }
  const Process process{digest->entry, digest->incarnation};
  if (this->live.contains(process)) {
    return;
  }
  Logged& logged = this->logged_processes[process];
  logged.missed = std::max(logged.missed, digest->missed);
  for (const DigestWindow& window : digest->windows) {
    this->AddWindow(logged, window);
  }
}

void LevelFold::AddWindow(Logged& logged, const DigestWindow& window) {
  if (logged.windows.contains(window.sequence)) {
    ++this->summary.doubled_windows;
    return;
  }
  if (this->held_windows >= this->max_windows) {
    ++this->summary.missing_windows;
    return;
  }
  ++this->held_windows;
  logged.windows.emplace(window.sequence, window);
}

LevelSummary LevelFold::Finish(WallTime now) const {
  LevelSummary finished = this->summary;
  for (const auto& [process, logged] : this->logged_processes) {
    FinishLogged(logged, now, finished);
  }
  return finished;
}

void LevelFold::FinishLogged(const Logged& logged,
                             WallTime now,
                             LevelSummary& into) {
  ++into.logged_processes;
  into.missed_windows += logged.missed;
  if (logged.windows.empty()) {
    return;
  }
  // Windows that the process dropped are gaps too; they count once, as missed.
  const std::uint64_t numbers = logged.windows.rbegin()->first.value -
                                logged.windows.begin()->first.value + 1;
  const std::uint64_t gaps = numbers - logged.windows.size();
  into.missing_windows += gaps - std::min(gaps, logged.missed);
  for (const auto& [sequence, window] : logged.windows) {
    const Duration age = now - window.start;
    into.future_windows += age < Duration::zero() ? 1 : 0;
    into.covered = std::max(into.covered, age);
    const Duration middle_age =
        std::max(age - window.length / 2, Duration::zero());
    for (const auto& [key, counts] : window.series) {
      AddLoggedCounts(counts, middle_age, into.series[key]);
    }
  }
}

}  // namespace acacialug::service_levels
