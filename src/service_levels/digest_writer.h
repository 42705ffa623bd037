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

// How often one of `entries` processes appends a digest: all of them together
// 0.25 times a second, but each between once in 5 min and once an hour.
Duration DigestInterval(std::uint32_t entries);

// An append that the writer asks for; `ticket` names it in OnAppended.
struct DigestAppend {
  std::uint64_t ticket = 0;
  Digest digest;
};

// Decides what one process appends to the log of its service levels, and when.
// No I/O and no clock. Not thread safe; `now` never goes backwards.
//
// A window is counted until it is closed, then waits until an append of it is
// answered as taken. An append whose answer is lost is repeated with the same
// windows under the same numbers, which a reader folds once. With the log out
// at most `max_pending` windows wait; then the oldest is dropped and counted
// as missed, which the next digest tells.
class DigestWriter {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    Duration interval = 1h;
    Duration append_timeout = 1min;  // then its answer counts as lost
    std::size_t max_pending = 12;
    std::size_t max_windows_per_append = 4;  // bounds a record's size
    std::size_t max_series = 64;
    std::size_t max_causes = 12;
  };

  // `random` outlives this object. The first window is closed after a random
  // part of the interval, so that processes started together append apart.
  DigestWriter(Options options, RandomSource& random, Instant now);

  // Adds to the open window.
  void Count(const SeriesKey& key, const LevelCounts& counts);

  // Closes the window when it is time, and returns an append that is due.
  // `wall` labels the window.
  std::optional<DigestAppend> OnTimer(Instant now, WallTime wall);

  // Closes the window at once, for a process that ends, and returns an append
  // of the newest windows, also beside one under way.
  std::optional<DigestAppend> Finish(Instant now, WallTime wall);

  // kAppendUnresolved and kPlatformUnavailable alike: the windows wait on.
  // Unknown tickets are ignored.
  void OnAppended(std::uint64_t ticket, bool taken, Instant now);

  Instant next_timer() const;
  std::uint64_t missed() const { return this->missed_windows; }
  std::size_t pending() const { return this->waiting.size(); }

 private:
  void CloseWindow(Instant now, WallTime wall);
  std::optional<DigestAppend> Append(std::size_t first, Instant now);
  // A tenth more or less, so that processes do not fall into step.
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
  WindowSequence last_sent;    // of the append under way
  Instant append_at = kNever;  // the next one, or when its answer is lost
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_DIGEST_WRITER_H_
