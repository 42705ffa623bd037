#ifndef LOAD_TYPES_VIOLATION_H_
#define LOAD_TYPES_VIOLATION_H_

#include <cstdint>
#include <string>

#include "framework/global/types/enum_names.h"

namespace acacialug::load {

// A broken promise to a caller. A request that fails with an honest error is
// none of these.
enum class ViolationKind : std::uint8_t {
  kForeignAnswer,   // text that no answer to this request can have
  kTokenLost,       // a token is missing between two others
  kTokenDoubled,    // a token came twice
  kTokenReordered,  // a token came before its turn
  kAnswerShort,     // the end was announced before the last token
  kAnswerLong,      // tokens beyond the answer's end
  kTwoAnswers,      // a second end, or an answer after an error
  kWrongEnd,        // finish reason or usage differ from what was produced
  kMalformed,       // not the API's form
  kNotRunDidRun,    // refused as not run, and the work did run
  kRanTwice,        // a non-idempotent call took effect more than once
  kNeverRan,        // answered as completed, and the work never ran
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
  std::string request;  // the load's own name of the request
  std::string detail;
};

}  // namespace acacialug::load

#endif  // LOAD_TYPES_VIOLATION_H_
