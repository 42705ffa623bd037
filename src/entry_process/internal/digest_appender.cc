#include "entry_process/internal/digest_appender.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "framework/log/log.h"
#include "service_levels/digest_codec.h"

namespace acacialug::entry_process {
namespace {

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

service_levels::WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

DigestAppender::DigestAppender(Options appender_options)
    : options(std::move(appender_options)) {
  this->timer.setSingleShot(true);
  this->finish_timer.setSingleShot(true);
  QObject::connect(&this->timer, &QTimer::timeout, [this] { this->OnTimer(); });
  QObject::connect(&this->finish_timer, &QTimer::timeout, [this] {
    if (this->on_finished) {
      std::exchange(this->on_finished, {})();
    }
  });
  this->ArmTimer();
}

void DigestAppender::Finish(std::function<void()> finished_hook) {
  this->on_finished = std::move(finished_hook);
  this->timer.stop();
  const auto append = this->options.log == nullptr
                          ? std::nullopt
                          : this->options.recorder.FinishDigests(WallNow());
  if (!append) {
    this->finish_timer.start(0);
    return;
  }
  this->finish_timer.start(Milliseconds(this->options.finish_timeout));
  this->Append(*append);
}

void DigestAppender::OnTimer() {
  if (const auto append = this->options.recorder.OnDigestTimer(WallNow())) {
    this->Append(*append);
  }
  this->LogMissed();
  this->ArmTimer();
}

void DigestAppender::ArmTimer() {
  if (this->options.log != nullptr) {
    this->timer.start(Milliseconds(this->options.recorder.UntilDigestTimer()));
  }
}

void DigestAppender::Append(const service_levels::DigestAppend& append) {
  this->options.log->Append(
      service_levels::kDigestStream,
      service_levels::EncodeDigest(append.digest),
      [this, ticket = append.ticket,
       weak = std::weak_ptr(this->alive)](const Result<LogOffset>& result) {
        if (!weak.expired()) {
          this->OnAppended(ticket, result);
        }
      });
}

void DigestAppender::OnAppended(std::uint64_t ticket,
                                const Result<LogOffset>& result) {
  this->options.recorder.OnDigestAppended(ticket, result.ok());
  if (!result.ok()) {
    log::Warning("digest_not_appended",
                 {.code = result.error().result_code(),
                  .fields = {{"detail", result.error().detail}}});
  }
  if (this->on_finished) {
    this->finish_timer.start(0);
    return;
  }
  this->ArmTimer();
}

// Windows that waited too long for the log are dropped. A report gives their
// number, and this log entry shows it to the operators of this host.
void DigestAppender::LogMissed() {
  const std::uint64_t missed = this->options.recorder.missed_digests();
  if (missed > this->logged_missed) {
    this->logged_missed = missed;
    log::Warning("digests_missed", {.fields = {{"windows", missed}}});
  }
}

}  // namespace acacialug::entry_process
