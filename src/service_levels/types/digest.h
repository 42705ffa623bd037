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

// A wall clock's time. A label only: it says where a digest of another process
// stands in a report, and decides nothing.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// The n-th window that a process closed, from 0, without gaps. It names the
// window; the wall clock does not.
using WindowSequence = Number<struct WindowSequenceTag>;

// What one process counted in one closed window.
struct DigestWindow {
  WindowSequence sequence;
  WallTime start;  // by the wall clock when the window was closed
  Duration length{};
  std::map<SeriesKey, LevelCounts> series;

  friend bool operator==(const DigestWindow&, const DigestWindow&) = default;
};

// One record of the stream. A window may stand in several records: an append
// whose answer was lost is repeated.
struct Digest {
  EntryId entry;
  Incarnation incarnation;
  std::uint64_t missed = 0;  // windows dropped so far before they were appended
  std::vector<DigestWindow> windows;

  friend bool operator==(const Digest&, const Digest&) = default;
};

}  // namespace acacialug::service_levels

#endif  // SERVICE_LEVELS_TYPES_DIGEST_H_
