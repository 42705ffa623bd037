#ifndef LOAD_REPORT_TEXT_H_
#define LOAD_REPORT_TEXT_H_

#include <string>

#include "load/types/load_report.h"

namespace acacialug::load {

// The report as JSON, with durations in milliseconds and rates in requests per
// second. At most 100 violations are listed, beside their total number. Thread
// safe.
std::string ToJson(const LoadReport& report);

}  // namespace acacialug::load

#endif  // LOAD_REPORT_TEXT_H_
