#ifndef LOAD_INTERNAL_STREAM_READER_H_
#define LOAD_INTERNAL_STREAM_READER_H_

#include <functional>
#include <string>
#include <string_view>

#include "load/types/load_figures.h"
#include "protocol/types/generation.h"

namespace acacialug::load {

// An error as the entry tells it, in the body or in the stream.
struct ToldError {
  std::string code;  // number if it has one, else what stands there
  RequestOutcome outcome = RequestOutcome::kUnknown;
};

// Reads an OpenAI-shaped error body. `outcome` is what the answer's headers
// say ("not_run", "unknown"); empty: what the body says, else unknown. A 4xx
// status without a word on the outcome is a rejection. Thread safe.
ToldError ReadError(int status,
                    std::string_view outcome,
                    std::string_view body);

// What an answer holds, in the order in which it comes.
struct AnswerEvents {
  std::function<void(std::string_view text)> on_text;
  std::function<void(std::string_view reason)> on_finish;
  std::function<void(const protocol::Usage& usage)> on_usage;
  std::function<void()> on_end;
  std::function<void(const ToldError& error)> on_error;
  std::function<void(std::string detail)> on_malformed;
};

// Reads server-sent events of the completions and chat routes, however they
// are cut into pieces. Not thread safe.
class StreamReader {
 public:
  explicit StreamReader(AnswerEvents events);

  void OnData(std::string_view data);

 private:
  void OnLine(std::string_view line);

  AnswerEvents events;
  std::string unread;
};

// Reads a whole (not streamed) answer. Thread safe.
void ReadWholeAnswer(std::string_view body, const AnswerEvents& events);

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_STREAM_READER_H_
