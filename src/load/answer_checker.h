#ifndef LOAD_ANSWER_CHECKER_H_
#define LOAD_ANSWER_CHECKER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "load/types/violation.h"
#include "protocol/types/generation.h"

namespace acacialug::load {

// Compares one generation's answer, as it is received, with the only answer
// that the stand-in engines can produce for its prompt. Reports the first
// difference of the text, and each broken rule of the ending. Not thread safe.
class AnswerChecker {
 public:
  struct Options {
    std::string request;   // the load's name for it, in reports
    std::string expected;  // the whole text
    std::size_t token_bytes = 6;
    protocol::FinishReason finish = protocol::FinishReason::kStop;
    std::uint32_t prompt_tokens = 0;  // 0: not compared
  };

  explicit AnswerChecker(Options options);

  void OnText(std::string_view text);
  void OnFinish(std::string_view reason);
  void OnUsage(const protocol::Usage& usage);
  // The answer announced its own end: `[DONE]`, or the end of a whole answer.
  void OnEnd();
  // An error in place of the rest of the answer.
  void OnError();
  void OnMalformed(std::string detail);

  // The whole tokens of the received text.
  std::uint32_t tokens() const;
  // The end was announced, and the answer is as expected.
  bool whole() const;
  const std::vector<Violation>& violations() const { return this->found; }

 private:
  void CheckToken(std::string_view token);
  void OnDifference(std::size_t index, std::string_view token);
  void Add(ViolationKind kind, std::string detail);
  std::string_view ExpectedToken(std::size_t index) const;
  // The index of `token` in the expected answer; its number of tokens if the
  // answer does not contain it.
  std::size_t IndexOf(std::string_view token) const;

  Options options;
  std::string received;
  std::size_t checked_tokens = 0;
  bool differs = false;
  // A token was skipped. The next token shows whether it was lost or
  // reordered.
  bool skipped_one = false;
  bool ended = false;
  bool failed = false;
  bool finished = false;
  std::vector<Violation> found;
};

}  // namespace acacialug::load

#endif  // LOAD_ANSWER_CHECKER_H_
