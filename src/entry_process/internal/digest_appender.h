#ifndef ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_
#define ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>

#include "cluster/i_log.h"
#include "entry_process/internal/service_level_recorder.h"

namespace acacialug::entry_process {

// Carries a recorder's digests to the platform's log, outside the path of any
// request. Lives on one thread with a Qt event loop.
class DigestAppender {
 public:
  struct Options {
    ServiceLevelRecorder& recorder;      // outlives this object
    std::unique_ptr<cluster::ILog> log;  // null: nothing is appended
    Duration finish_timeout = 1s;
  };

  explicit DigestAppender(Options options);

  // Appends the last counts of the process before it ends. `on_finished` runs
  // once, never from inside this call: with the log's answer, or after the
  // timeout, since an unreachable log must not keep a process from ending.
  void Finish(std::function<void()> on_finished);

 private:
  void OnTimer();
  void ArmTimer();
  void Append(const service_levels::DigestAppend& append);
  void OnAppended(std::uint64_t ticket, const Result<LogOffset>& result);
  void LogMissed();

  Options options;
  QTimer timer;
  QTimer finish_timer;
  std::function<void()> on_finished;
  std::uint64_t logged_missed = 0;
  // Answers that come after this object's end are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_
