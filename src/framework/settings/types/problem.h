#ifndef FRAMEWORK_SETTINGS_TYPES_PROBLEM_H_
#define FRAMEWORK_SETTINGS_TYPES_PROBLEM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/result.h"

namespace acacialug::settings {

// One fault in a settings text: where it stands and what was expected there.
struct Problem {
  ResultCode code = ResultCode::kOk;
  std::string source;        // file path, or the name given with a text
  std::uint32_t line = 0;    // from 1; 0 when the text has no such place
  std::uint32_t column = 0;  // from 1; 0 when the text has no such place
  std::string key;           // whole path, as `pools.decode[2].size`
  std::string expected;      // "expected ..., found ..."

  friend bool operator==(const Problem&, const Problem&) = default;
};

// SOURCE:LINE:COLUMN: KEY: EXPECTED (NUMBER NAME), in one line whatever the
// text holds. Thread safe.
std::string ToString(const Problem& problem);

// The first problem's code, and all problems as the detail, one a line.
// Precondition: `problems` is not empty. Thread safe.
Error ToError(const std::vector<Problem>& problems);

}  // namespace acacialug::settings

#endif  // FRAMEWORK_SETTINGS_TYPES_PROBLEM_H_
