#ifndef ENTRY_PROCESS_INTERNAL_GENERATION_RENDERER_H_
#define ENTRY_PROCESS_INTERNAL_GENERATION_RENDERER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/global/types/identifiers.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// Writes one generation's answer in the OpenAI API's shape, whole or as
// server-sent events. The parts that are the same in all events are written
// once, so that an event costs little more than escaping its text. Not thread
// safe.
class GenerationRenderer {
 public:
  struct Options {
    protocol::GenerationApi api = protocol::GenerationApi::kCompletions;
    RequestId request;
    ModelName model;
    std::int64_t created = 0;  // seconds since 1970, UTC
    bool include_usage = false;
  };

  explicit GenerationRenderer(Options options);

  // The event before any text: a chat's role. Empty for completions.
  std::string BeginEvents() const;
  // Appends the event of one chunk of text to `events`.
  void AppendTextEvent(std::string_view text, std::string& events) const;
  // The closing events: finish reason, usage if asked for, and "[DONE]".
  std::string EndEvents(protocol::FinishReason reason,
                        const protocol::Usage& usage) const;

  // The body of a whole answer.
  std::string Whole(std::string_view text,
                    protocol::FinishReason reason,
                    const protocol::Usage& usage) const;

 private:
  std::string Head(std::string_view object) const;
  std::string Event(std::string_view choice) const;

  Options options;
  std::string event_head;  // up to the changing part of an event
  std::string text_begin;
  std::string text_end;
};

// One server-sent event. Thread safe.
std::string RenderEvent(std::string_view json);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_GENERATION_RENDERER_H_
