#include "entry_process/internal/claims_log.h"

#include <QTimer>
#include <utility>

namespace acacialug::entry_process {
namespace {

constexpr std::size_t kRecordsPerRead = 1024;

entry::AppendOutcome OutcomeOf(const Result<LogOffset>& result) {
  if (result.ok()) {
    return entry::AppendOutcome::kAppended;
  }
  return result.error().result_code() == ResultCode::kPlatformUnavailable
             ? entry::AppendOutcome::kNotAppended
             : entry::AppendOutcome::kUnresolved;
}

entry::ClaimsRead ReadOf(entry::LogTicket ticket,
                         Result<cluster::ILog::Read> result) {
  entry::ClaimsRead read{.ticket = ticket, .reachable = result.ok()};
  if (result.ok()) {
    read.first_kept = result->first_kept;
    read.next = result->next;
    for (cluster::ILog::Record& record : result.value().records) {
      read.records.push_back(
          {.offset = record.offset, .payload = std::move(record.payload)});
    }
  }
  return read;
}

}  // namespace

ClaimsLog::ClaimsLog(std::unique_ptr<cluster::ILog> platform_log,
                     Hooks log_hooks)
    : log(std::move(platform_log)), hooks(std::move(log_hooks)) {}

void ClaimsLog::Append(const entry::AppendClaims& append) {
  auto on_done =
      [this, ticket = append.ticket,
       weak = std::weak_ptr(this->alive)](const Result<LogOffset>& result) {
        if (!weak.expired()) {
          this->hooks.on_appended(
              {.ticket = ticket,
               .outcome = OutcomeOf(result),
               .offset = result.ok() ? result.value() : LogOffset()});
        }
      };
  if (this->log == nullptr) {
    QTimer::singleShot(
        0, [on_done] { on_done(Error(ResultCode::kPlatformUnavailable)); });
    return;
  }
  this->log->Append(kClaimsStream, append.payload, std::move(on_done));
}

void ClaimsLog::Read(const entry::ReadClaims& read) {
  auto on_done =
      [this, ticket = read.ticket,
       weak = std::weak_ptr(this->alive)](Result<cluster::ILog::Read> result) {
        if (!weak.expired()) {
          this->hooks.on_read(ReadOf(ticket, std::move(result)));
        }
      };
  if (this->log == nullptr) {
    QTimer::singleShot(
        0, [on_done] { on_done(Error(ResultCode::kPlatformUnavailable)); });
    return;
  }
  this->log->ReadFrom(kClaimsStream, read.from, kRecordsPerRead, read.wait,
                      std::move(on_done));
}

}  // namespace acacialug::entry_process
