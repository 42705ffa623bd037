#ifndef ENTRY_TYPES_ENTRY_COUNTERS_H_
#define ENTRY_TYPES_ENTRY_COUNTERS_H_

#include <cstdint>

namespace acacialug::entry {

// Counts of an EntryCore since its start, for metrics and tests.
struct EntryCounters {
  std::uint64_t completed = 0;
  std::uint64_t refused_not_run = 0;  // final answers kNotRun
  std::uint64_t failed = 0;           // other final errors
  std::uint64_t dropped_frames = 0;   // of superseded or unknown attempts
  std::uint64_t runs_repeated = 0;    // taken from the retry budget
  std::uint64_t repeats_denied = 0;   // by the budget or the limit
  std::uint64_t streams_resumed = 0;  // after delivered text
  std::uint64_t prefills_reused = 0;  // decoded at another endpoint
  std::uint64_t prefills_lost = 0;    // finished, but not imported
  std::uint64_t look_ups = 0;         // queries for a call's result
  std::uint64_t sessions_lost = 0;    // closed or lapsed while open
};

}  // namespace acacialug::entry

#endif  // ENTRY_TYPES_ENTRY_COUNTERS_H_
