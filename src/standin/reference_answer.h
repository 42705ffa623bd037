#ifndef STANDIN_REFERENCE_ANSWER_H_
#define STANDIN_REFERENCE_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/result.h"
#include "protocol/types/generation.h"

// The answers of the stand-ins are a function of what was asked, so that a
// test or the load tool can check every byte of every answer without keeping
// what it sent. Free functions are thread safe.
namespace acacialug::standin {

inline constexpr std::size_t kTokenBytes = 6;           // " w" and 4 digits
inline constexpr std::size_t kPromptBytesPerToken = 4;  // rounded up

std::uint32_t PromptTokens(std::string_view text);

// The text that a model sees for a request body. Completions: `prompt`, text
// or a list of one text. Chat:
// every message as "role: content\n", then "assistant: "; with
// `continue_final_message` the last message's content follows that without an
// end of line. Errors: kMalformedJson.
Result<std::string> PromptText(protocol::GenerationApi api,
                               std::string_view body);

// How many tokens at the end of `text` are an earlier answer to what stands
// before them: an engine that resumes sees them as part of its prompt.
std::uint32_t ResumedTokens(std::string_view text);

// What becomes of a generation: known before the first token.
struct AnswerPlan {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t resumed_tokens = 0;  // of the prompt
  std::uint32_t output_tokens = 0;   // still to come
  protocol::FinishReason reason = protocol::FinishReason::kLength;
};

// `text` is the prompt, with the resumed answer at its end if there is one.
// "[answer-tokens=N]" in it ends the answer as kStop after N tokens, resumed
// ones counted, if that is fewer than `max_tokens` allows.
AnswerPlan PlanAnswer(std::string_view text, std::uint32_t max_tokens);

// Makes an answer token by token, each a hash of all text before it. Not
// thread safe.
class TokenGenerator {
 public:
  explicit TokenGenerator(std::string_view text);
  ~TokenGenerator();
  TokenGenerator(TokenGenerator&&) noexcept;
  TokenGenerator& operator=(TokenGenerator&&) noexcept;

  // The next token, kTokenBytes long.
  std::string Next();

 private:
  struct State;
  std::unique_ptr<State> state;
};

struct ReferenceAnswer {
  std::string text;
  AnswerPlan plan;
};

// The whole answer at once, for checks.
ReferenceAnswer MakeReferenceAnswer(std::string_view text,
                                    std::uint32_t max_tokens);

// One hash for each whole piece of `piece_tokens` of the text, each over the
// piece and all before it. Precondition: piece_tokens > 0.
protocol::PrefixChain PrefixHashes(std::string_view text,
                                   std::uint32_t piece_tokens);

// The body with which the plain service answers: it names the request, so
// that an answer to another one shows.
std::string ReferenceServiceAnswer(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

}  // namespace acacialug::standin

#endif  // STANDIN_REFERENCE_ANSWER_H_
