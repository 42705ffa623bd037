#include "scenario/internal/platform_log.h"

#include <utility>

namespace acacialug::scenario {
namespace {

constexpr std::size_t kRecordsPerRead = 1024;
constexpr Duration kAnswerTimeout = 1s;  // of a client, for a lost answer

}  // namespace

void PlatformLog::Append(const std::string& stream,
                         std::string payload,
                         OnAppended on_done) {
  this->queue.After(
      this->delay + this->current.delay,
      [this, stream, payload = std::move(payload),
       on_done = std::move(on_done)] { this->Take(stream, payload, on_done); });
}

void PlatformLog::Take(const std::string& stream,
                       const std::string& payload,
                       const OnAppended& on_done) {
  const Result<LogOffset> result =
      this->model.Append(stream, payload, this->queue.now());
  if (result.ok() && (this->current.lose_answers || this->Loses())) {
    this->queue.After(kAnswerTimeout, [on_done] {
      on_done(Error(ResultCode::kAppendUnresolved));
    });
  } else {
    this->queue.After(this->delay + this->current.delay,
                      [on_done, result] { on_done(result); });
  }
  this->AnswerWaitingReads();
}

void PlatformLog::ReadFrom(const std::string& stream,
                           LogOffset from,
                           Duration wait,
                           const OnRead& on_done) {
  this->queue.After(this->delay + this->current.delay, [=, this] {
    this->waiting.push_back({.stream = stream,
                             .from = from,
                             .until = this->queue.now() + wait,
                             .on_done = on_done});
    this->queue.After(wait, [this] { this->AnswerWaitingReads(); });
    this->AnswerWaitingReads();
  });
}

void PlatformLog::Set(const Faults& new_faults) {
  this->current = new_faults;
  this->model.SetOutage(new_faults.outage);
  this->AnswerWaitingReads();
}

bool PlatformLog::Loses() {
  return this->current.lost_share > 0 &&
         this->random.Unit() < this->current.lost_share;
}

void PlatformLog::AnswerWaitingReads() {
  for (const Waiting& read : std::exchange(this->waiting, {})) {
    this->Answer(read);
  }
}

void PlatformLog::Answer(const Waiting& read) {
  const Result<cluster::ILog::Read> result = this->model.ReadFrom(
      read.stream, read.from, kRecordsPerRead, this->queue.now());
  if (result.ok() && result->records.empty() && result->next <= read.from &&
      this->queue.now() < read.until) {
    this->waiting.push_back(read);
    return;
  }
  if (this->Loses()) {
    this->queue.After(kAnswerTimeout, [on_done = read.on_done] {
      on_done(Error(ResultCode::kPlatformUnavailable));
    });
    return;
  }
  this->queue.After(this->delay + this->current.delay,
                    [on_done = read.on_done, result] { on_done(result); });
}

}  // namespace acacialug::scenario
