#ifndef STANDIN_REFERENCE_ANSWER_H_
#define STANDIN_REFERENCE_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/result.h"
#include "protocol/types/generation.h"

// The answers of the stand-ins are a function of the request, so that a test or
// the load tool can check every byte of every answer without storing what it
// sent. Free functions are thread safe.
namespace acacialug::standin {

inline constexpr std::size_t kTokenBytes = 6;           // " w" and 4 digits
inline constexpr std::size_t kPromptBytesPerToken = 4;  // rounded up

std::uint32_t PromptTokens(std::string_view text);

// The text that a model reads for a request body. Completions: `prompt`, text
// or a list of one text. Chat: every message as "role: content\n", then
// "assistant: "; with `continue_final_message` the last message's content
// follows that without a newline. Errors: kMalformedJson.
Result<std::string> PromptText(protocol::GenerationApi api,
                               std::string_view body);

// The number of tokens at the end of `text` that are an earlier answer to the
// text before them: an engine that resumes reads them as part of its prompt.
std::uint32_t ResumedTokens(std::string_view text);

// The properties of a generation that are known before its first token.
struct AnswerPlan {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t resumed_tokens = 0;  // of the prompt
  std::uint32_t output_tokens = 0;   // still to be generated
  protocol::FinishReason reason = protocol::FinishReason::kLength;
};

// `text` is the prompt, followed by the resumed answer if there is one.
// "[answer-tokens=N]" in it ends the answer as kStop after N tokens, including
// resumed ones, if `max_tokens` allows more.
AnswerPlan PlanAnswer(std::string_view text, std::uint32_t max_tokens);

// Generates an answer token by token, each a hash of all text before it. Not
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

// One hash for each whole piece of `block_tokens` of the text, each over the
// piece and all before it. Precondition: block_tokens > 0.
protocol::PrefixChain PrefixHashes(std::string_view text,
                                   std::uint32_t block_tokens);

// The body of the plain service's answer. It names the request, so that an
// answer to another request is detected.
std::string ReferenceServiceAnswer(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

}  // namespace acacialug::standin

#endif  // STANDIN_REFERENCE_ANSWER_H_
