#ifndef ENTRY_PROCESS_INTERNAL_SERVICE_LEVEL_RECORDER_H_
#define ENTRY_PROCESS_INTERNAL_SERVICE_LEVEL_RECORDER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "manifest/types/manifest.h"
#include "service_levels/digest_writer.h"
#include "service_levels/service_level_windows.h"

namespace acacialug::entry_process {

// Records the service levels of one entry, all shards together: the windows of
// its operations port and the digests for the log, under one lock that is held
// for about a microsecond a request. Thread safe.
class ServiceLevelRecorder {
 public:
  struct Options {
    EntryId entry;
    Incarnation incarnation;
    std::uint32_t live_entries = 1;  // sets how often digests are appended
    std::uint64_t seed = 0;
    bool has_log = false;  // without one nothing is kept for digests
    std::function<Instant()> clock = MonotonicNow;
  };

  explicit ServiceLevelRecorder(const Options& options);

  // Records a request that ended. A request with two causes of a miss counts
  // once.
  void CountRequest(std::string_view service,
                    std::string_view latency_class,
                    const service_levels::LevelCounts& counts);
  // Prefill work in tokens; `wasted` of it by `cause`.
  void CountPrefill(std::string_view service,
                    std::uint64_t computed,
                    std::uint64_t wasted,
                    service_levels::Cause cause);

  // The page for reports; `manifest` (null: none yet) gives the objectives.
  std::string RenderPage(const manifest::Manifest* manifest);

  // See service_levels::DigestWriter.
  std::optional<service_levels::DigestAppend> OnDigestTimer(
      service_levels::WallTime wall);
  std::optional<service_levels::DigestAppend> FinishDigests(
      service_levels::WallTime wall);
  void OnDigestAppended(std::uint64_t ticket, bool taken);
  // The time until the digests' next timer; zero when it is due.
  Duration UntilDigestTimer();
  std::uint64_t missed_digests();

 private:
  void Count(const service_levels::SeriesKey& key,
             const service_levels::LevelCounts& counts);

  const Options options;
  std::mutex mutex;
  RandomSource random;                          // guarded by mutex
  service_levels::ServiceLevelWindows windows;  // guarded by mutex
  service_levels::DigestWriter digests;         // guarded by mutex
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_SERVICE_LEVEL_RECORDER_H_
