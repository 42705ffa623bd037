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

// One series of all processes together.
struct SeriesSums {
  std::array<LevelCounts, kReportWindows.size()> windows;
  // The newest bin first, of kResolutions[kTimelineResolution].
  std::array<LevelCounts, kResolutions[kTimelineResolution].bins> timeline;
};

// What a report is made of, and what is known to be missing from it.
struct LevelSummary {
  std::map<SeriesKey, SeriesSums> series;
  std::vector<Objective> objectives;  // of the newest manifest among processes
  LogOffset manifest;
  Duration covered{};                 // since the oldest data
  std::size_t live_processes = 0;     // that showed their windows
  std::size_t logged_processes = 0;   // known by their digests alone
  std::uint64_t doubled_windows = 0;  // seen again, folded once
  std::uint64_t missing_windows = 0;  // holes between the digests of a process
  std::uint64_t missed_windows = 0;   // processes say: dropped, never logged
  std::uint64_t future_windows = 0;   // labelled later than now: a wrong clock
  std::uint64_t bad_records = 0;
};

// Adds up windows of many processes, each window once. No I/O and no clock;
// not thread safe.
class LevelFold {
 public:
  // Holds at most so many windows; the rest counts as missing.
  explicit LevelFold(std::size_t most_windows = 1'000'000)
      : max_windows(most_windows) {}

  // A process that answered. One that is asked twice counts once.
  // Precondition: no record was added yet, since what the log has of a live
  // process is in its windows already.
  void AddLive(const LevelPage& page);

  // A record of the stream, in any order and any number of times. What is no
  // digest is counted and left out.
  void AddRecord(std::string_view payload);

  // `now` by the reader's wall clock. A window of the log counts into those
  // windows of the report in which its middle lies; one labelled later than
  // now counts as new.
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
