#ifndef LOAD_INTERNAL_STREAM_READER_H_
#define LOAD_INTERNAL_STREAM_READER_H_

#include <functional>
#include <string>
#include <string_view>

#include "load/types/load_figures.h"
#include "protocol/types/generation.h"

namespace acacialug::load {

// An error as the entry reports it, in the body or in the stream.
struct AnswerError {
  std::string code;  // the number if it has one, else the text
  RequestOutcome outcome = RequestOutcome::kUnknown;
};

// Parses an error body of the OpenAI API. `outcome_header` is the answer's
// header
// ("not_run", "unknown"); if it is empty, the outcome in the body counts, else
// unknown. A 4xx status without an outcome is a rejection. Thread safe.
AnswerError ReadError(int status,
                      std::string_view outcome_header,
                      std::string_view body);

// The contents of an answer, in the order in which they are received.
struct AnswerEvents {
  std::function<void(std::string_view text)> on_text;
  std::function<void(std::string_view reason)> on_finish;
  std::function<void(const protocol::Usage& usage)> on_usage;
  std::function<void()> on_end;
  std::function<void(const AnswerError& error)> on_error;
  std::function<void(std::string detail)> on_malformed;
};

// Parses server-sent events of the completions and chat routes, however they
// are split into chunks. Not thread safe.
class StreamReader {
 public:
  explicit StreamReader(AnswerEvents events);

  void OnData(std::string_view data);

 private:
  void OnLine(std::string_view line);

  AnswerEvents events;
  std::string unread;
};

// Parses a complete answer, which is not streamed. Thread safe.
void ReadWholeAnswer(std::string_view body, const AnswerEvents& events);

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_STREAM_READER_H_
