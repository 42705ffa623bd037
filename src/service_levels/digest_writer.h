#ifndef SERVICE_LEVELS_DIGEST_WRITER_H_
#define SERVICE_LEVELS_DIGEST_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "service_levels/types/digest.h"

namespace acacialug::service_levels {

// Returns the interval at which each of `entries` processes appends a digest:
// all processes together append 0.25 times a second, but each process at most
// once in 5 min and at least once an hour.
Duration DigestInterval(std::uint32_t entries);

// An append that the writer requests; `ticket` names it in OnAppended.
struct DigestAppend {
  std::uint64_t ticket = 0;
  Digest digest;
};

// Decides which of its service levels one process appends to the log, and when.
// No I/O and no clock. Not thread safe; `now` never goes backwards.
//
// Counts are added to a window until it is closed; then it waits until an
// append of it is confirmed. An append whose answer is lost is repeated with
// the same windows under the same numbers, which a reader counts once. While
// the log is unavailable, at most `max_pending` windows wait; beyond that the
// oldest is dropped and counted as missed, and the next digest reports the
// count.
class DigestWriter {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    Duration interval = 1h;
    Duration append_timeout = 1min;  // after this the answer counts as lost
    std::size_t max_pending = 12;
    std::size_t max_windows_per_append = 4;  // bounds a record's size
    std::size_t max_series = 64;
    std::size_t max_causes = 12;
  };

  // `random` must outlive this object. The first window is closed after a
  // random part of the interval, so that processes started together append at
  // different times.
  DigestWriter(Options options, RandomSource& random, Instant now);

  // Adds to the open window.
  void Count(const SeriesKey& key, const LevelCounts& counts);

  // Closes the window when it is due, and returns an append that is due.
  // `wall` labels the window.
  std::optional<DigestAppend> OnTimer(Instant now, WallTime wall);

  // Closes the window at once, for a process that ends, and returns an append
  // of the newest windows, even while another append is in progress.
  std::optional<DigestAppend> Finish(Instant now, WallTime wall);

  // After kAppendUnresolved as after kPlatformUnavailable, `accepted` is false
  // and the windows continue to wait. Unknown tickets are ignored.
  void OnAppended(std::uint64_t ticket, bool accepted, Instant now);

  Instant next_timer() const;
  std::uint64_t missed() const { return this->missed_windows; }
  std::size_t pending() const { return this->waiting.size(); }

 private:
  void CloseWindow(Instant now, WallTime wall);
  std::optional<DigestAppend> Append(std::size_t first, Instant now);
  // Varies the duration by up to 10 %, so that processes don't synchronize.
  Duration Jittered(Duration duration);

  Options options;
  RandomSource& random;
  std::map<SeriesKey, LevelCounts> open;
  Instant opened;
  Instant close_at;
  WindowSequence next_sequence;
  std::deque<DigestWindow> waiting;
  std::uint64_t missed_windows = 0;
  std::uint64_t last_ticket = 0;
  bool under_way = false;
  WindowSequence last_sent;    // of the append in progress
  Instant append_at = kNever;  // next append, or timeout of the one in progress
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_DIGEST_WRITER_H_
