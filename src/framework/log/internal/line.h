#ifndef FRAMEWORK_LOG_INTERNAL_LINE_H_
#define FRAMEWORK_LOG_INTERNAL_LINE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "framework/log/types/record.h"

namespace acacialug::log::internal {

// One line of the log, without the line feed. `time` is the wall clock's: it
// is for people and never compared. Text that is no UTF-8 gets replacement
// characters, so that a caller's bytes cannot break the line, and a text of
// over 1 KiB is cut short. Thread safe.
std::string Line(std::chrono::system_clock::time_point time,
                 Level level,
                 std::string_view program,
                 std::string_view event,
                 const Record& record);

}  // namespace acacialug::log::internal

#endif  // FRAMEWORK_LOG_INTERNAL_LINE_H_
