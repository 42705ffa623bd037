#ifndef LOAD_REPORT_TEXT_H_
#define LOAD_REPORT_TEXT_H_

#include <string>

#include "load/types/load_report.h"

namespace acacialug::load {

// The report as JSON, durations in milliseconds, rates in requests a second.
// At most 100 violations are listed; their number is always whole. Thread
// safe.
std::string ToJson(const LoadReport& report);

}  // namespace acacialug::load

#endif  // LOAD_REPORT_TEXT_H_
