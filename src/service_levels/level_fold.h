#ifndef SERVICE_LEVELS_LEVEL_FOLD_H_
#define SERVICE_LEVELS_LEVEL_FOLD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "service_levels/types/digest.h"
#include "service_levels/types/live_levels.h"

namespace acacialug::service_levels {

// The sums of one series over all processes.
struct SeriesSums {
  std::array<LevelCounts, kReportWindows.size()> windows;
  // The bins of kResolutions[kTimelineResolution], newest first.
  std::array<LevelCounts, kResolutions[kTimelineResolution].bins> timeline;
};

// The data of a report, and the data that is known to be missing from it.
struct LevelSummary {
  std::map<SeriesKey, SeriesSums> series;
  std::vector<Objective> objectives;  // of the newest manifest among processes
  LogOffset manifest;
  Duration covered{};                 // since the oldest data
  std::size_t live_processes = 0;     // processes that returned their windows
  std::size_t logged_processes = 0;   // processes known only by their digests
  std::uint64_t doubled_windows = 0;  // duplicates; each window is counted once
  // Gaps between the digests of a process, and windows above the bound.
  std::uint64_t missing_windows = 0;
  // Reported by the processes as dropped, never logged.
  std::uint64_t missed_windows = 0;
  // Labelled later than now, because of a wrong clock.
  std::uint64_t future_windows = 0;
  std::uint64_t bad_records = 0;
};

// Sums the windows of many processes, counting each window once. No I/O and no
// clock; not thread safe.
class LevelFold {
 public:
  // Holds at most `window_limit` windows; the rest counts as missing.
  explicit LevelFold(std::size_t window_limit = 1'000'000)
      : max_windows(window_limit) {}

  // Adds a process that answered. A process that is queried twice counts once.
  // Precondition: no record was added yet, since a live process's windows
  // already include its records in the log.
  void AddLive(const LevelPage& page);

  // Adds a record of the stream. Records may come in any order and any number
  // of times. A record that is not a digest is counted and skipped.
  void AddRecord(std::string_view payload);

  // `now` is the time of the reader's wall clock. A window of the log counts
  // into the report windows that contain its midpoint; a window labelled later
  // than now has an age of zero.
  LevelSummary Finish(WallTime now) const;

 private:
  using Process = std::pair<EntryId, Incarnation>;
  struct Logged {
    std::map<WindowSequence, DigestWindow> windows;
    std::uint64_t missed = 0;
  };

  void AddWindow(Logged& logged, const DigestWindow& window);
  static void FinishLogged(const Logged& logged,
                           WallTime now,
                           LevelSummary& into);

  std::size_t max_windows;
  std::size_t held_windows = 0;
  LevelSummary summary;
  std::set<Process> live;
  std::map<Process, Logged> logged_processes;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_LEVEL_FOLD_H_
