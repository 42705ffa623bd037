#ifndef ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_
#define ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>

#include "cluster/i_log.h"
#include "entry_process/internal/service_level_book.h"

namespace acacialug::entry_process {

// Carries a book's digests to the platform's log, off every request's way.
// Lives on one thread with a Qt event loop.
class DigestAppender {
 public:
  struct Options {
    ServiceLevelBook& book;              // outlives this object
    std::unique_ptr<cluster::ILog> log;  // null: nothing is appended
    Duration finish_timeout = 1s;
  };

  explicit DigestAppender(Options options);

  // Appends what the process counted last, for its end. `on_finished` runs
  // once, never from inside this call: with the log's answer, or when the
  // timeout is over, since a log that is out holds no process back.
  void Finish(std::function<void()> on_finished);

 private:
  void OnTimer();
  void ArmTimer();
  void Append(const service_levels::DigestAppend& append);
  void OnAppended(std::uint64_t ticket, const Result<LogOffset>& result);
  void TellMissed();

  Options options;
  QTimer timer;
  QTimer finish_timer;
  std::function<void()> on_finished;
  std::uint64_t told_missed = 0;
  // Answers that come after this object's end are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_DIGEST_APPENDER_H_
