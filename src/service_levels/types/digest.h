#ifndef SERVICE_LEVELS_TYPES_DIGEST_H_
#define SERVICE_LEVELS_TYPES_DIGEST_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "service_levels/types/level_counts.h"

namespace acacialug::service_levels {

// A time of the wall clock. It is only a label: it positions another process's
// digest in a report, and no decision depends on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// The number of a window in the order in which its process closed them, from 0,
// without gaps. This number, not the wall clock, identifies the window.
using WindowSequence = Number<struct WindowSequenceTag>;

// The counts of one process in one closed window.
struct DigestWindow {
  WindowSequence sequence;
  WallTime start;  // from the wall clock at the window's close
  Duration length{};
  std::map<SeriesKey, LevelCounts> series;

  friend bool operator==(const DigestWindow&, const DigestWindow&) = default;
};

// One record of the stream. Several records may contain the same window,
// because an append whose answer was lost is repeated.
struct Digest {
  EntryId entry;
  Incarnation incarnation;
  std::uint64_t missed = 0;  // windows dropped so far before they were appended
  std::vector<DigestWindow> windows;

  friend bool operator==(const Digest&, const Digest&) = default;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_DIGEST_H_
