#ifndef FRAMEWORK_LOG_LOG_H_
#define FRAMEWORK_LOG_LOG_H_

#include <ostream>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/log/repeat_limiter.h"
#include "framework/log/types/record.h"

// The process's log: one JSON object a line, with the stable keys ts, level,
// program, event, request, attempt, endpoint and code, in this order, and then
// the record's own. Each line is written whole.
//
//   log::Warning("reservation_refused",
//                {.request = id, .code = ResultCode::kNoDecodeMemory,
//                 .fields = {{"pool", pool}, {"waited_ms", waited}}});
namespace acacialug::log {

struct LogOptions {
  std::string program;  // the key `program` of every line
  Level level = Level::kInfo;
  std::string file;  // empty: standard error
  // Standard output in place of both, by a writer that never waits for its
  // reader: lines are held in memory until the reader takes them, and beyond
  // kMaxHeldBytes they are dropped and counted. Call Flush now and then.
  bool standard_output = false;
  std::ostream* stream = nullptr;  // set: instead of both, for tests
};

// Sets where lines go from now on; opens the file anew, so a reload after the
// file was moved away starts a new one. Errors: kSettingsUnreadable when the
// file cannot be opened (the log stays as it was). Thread safe. Without a call
// the log goes to standard error at kInfo.
Status Configure(const LogOptions& options);

// What the writer to standard output holds at most for a reader that does not
// read: some seconds of lines at the highest rate that the limiters allow.
inline constexpr std::size_t kMaxHeldBytes = std::size_t{256} * 1024;

// Hands what is held for standard output to the operating system, as far as it
// takes it at once. Thread safe.
void Flush();

// True when lines of this level are written. Thread safe.
bool Enabled(Level level);

// Writes one line when its level is enabled. `event` is a stable snake_case
// name. Precondition: no record names a key twice or one of the stable keys.
// Thread safe.
void Write(Level level, std::string_view event, const Record& record = {});

inline void Debug(std::string_view event, const Record& record = {}) {
  Write(Level::kDebug, event, record);
}
inline void Info(std::string_view event, const Record& record = {}) {
  Write(Level::kInfo, event, record);
}
inline void Warning(std::string_view event, const Record& record = {}) {
  Write(Level::kWarning, event, record);
}
inline void Error(std::string_view event, const Record& record = {}) {
  Write(Level::kError, event, record);
}

// Write, unless `limiter` has let too many of this event through lately. The
// next line that passes says how many were held back, under `suppressed`.
// Thread safe.
void WriteLimited(RepeatLimiter& limiter,
                  Instant now,
                  Level level,
                  std::string_view event,
                  Record record = {});

}  // namespace acacialug::log

#endif  // FRAMEWORK_LOG_LOG_H_
