#ifndef LOAD_TYPES_VIOLATION_H_
#define LOAD_TYPES_VIOLATION_H_

#include <cstdint>
#include <string>

#include "framework/global/types/enum_names.h"

namespace acacialug::load {

// A broken guarantee to a caller. A request that fails with a truthful error is
// not a violation.
enum class ViolationKind : std::uint8_t {
  kForeignAnswer,   // text that cannot be in an answer to this request
  kTokenLost,       // a token is missing between two others
  kTokenDoubled,    // a token was received twice
  kTokenReordered,  // a token was received before an earlier one
  kAnswerShort,     // the end was announced before the last token
  kAnswerLong,      // tokens beyond the answer's end
  kTwoAnswers,      // a second end, or an answer after an error
  kWrongEnd,        // finish reason or usage differ from what was produced
  kMalformed,       // not in the format of the API
  kNotRunDidRun,    // refused as not run, although the work ran
  kRanTwice,        // a non-idempotent call took effect more than once
  kNeverRan,        // answered as completed, although the work never ran
  kAnswersDiffer,   // two submissions under one key got different answers
};
inline constexpr EnumNames<ViolationKind, 13> kViolationKindNames = {{
    {ViolationKind::kForeignAnswer, "foreign_answer"},
    {ViolationKind::kTokenLost, "token_lost"},
    {ViolationKind::kTokenDoubled, "token_doubled"},
    {ViolationKind::kTokenReordered, "token_reordered"},
    {ViolationKind::kAnswerShort, "answer_short"},
    {ViolationKind::kAnswerLong, "answer_long"},
    {ViolationKind::kTwoAnswers, "two_answers"},
    {ViolationKind::kWrongEnd, "wrong_end"},
    {ViolationKind::kMalformed, "malformed"},
    {ViolationKind::kNotRunDidRun, "not_run_did_run"},
    {ViolationKind::kRanTwice, "ran_twice"},
    {ViolationKind::kNeverRan, "never_ran"},
    {ViolationKind::kAnswersDiffer, "answers_differ"},
}};

struct Violation {
  ViolationKind kind = ViolationKind::kMalformed;
  std::string request;  // the load's name for the request
  std::string detail;
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_VIOLATION_H_
