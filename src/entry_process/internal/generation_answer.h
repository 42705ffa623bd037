#ifndef ENTRY_PROCESS_INTERNAL_GENERATION_ANSWER_H_
#define ENTRY_PROCESS_INTERNAL_GENERATION_ANSWER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "entry_process/internal/error_answer.h"
#include "entry_process/internal/generation_renderer.h"
#include "entry_process/types/entry_process_options.h"
#include "framework/http/http_server.h"

namespace acacialug::entry_process {

// One generation's answer to the caller, streamed or whole. Texts are collected
// and written by Flush, so that all texts received in one iteration of the
// event loop cost one write. Lives on its shard's thread.
class GenerationAnswer {
 public:
  struct Options {
    GenerationRenderer::Options renderer;
    bool stream = false;
    http::Headers identity;  // sent with every answer to this request
    AnswerLimits limits;
    // The caller has taken the chunks up to and including this one. Runs inside
    // Flush, or later when a slow caller has read on; must not destroy this
    // object.
    std::function<void(std::uint64_t index)> on_delivered;
  };

  GenerationAnswer(http::ResponderPtr responder, Options options);
  ~GenerationAnswer();

  // Takes the next chunk. False when a whole answer would exceed its bound; the
  // chunk is then not kept, and the owner must fail the answer.
  bool AddText(std::uint64_t index, std::string_view text);

  // Writes what AddText collected.
  void Flush();

  // Ends a complete answer.
  void End(protocol::FinishReason reason, const protocol::Usage& usage);

  // Ends the answer with an error: as an HTTP error while nothing was sent,
  // otherwise as a last event and a cut connection, so that the answer cannot
  // look complete.
  void Fail(const ErrorAnswer& error);

 private:
  void BeginStream();
  void ReportDelivered();
  void CutWhenRead();

  http::ResponderPtr responder;
  Options options;
  GenerationRenderer renderer;
  bool begun = false;
  bool cutting = false;
  std::string collected;  // events to write, or the whole text so far
  std::optional<std::uint64_t> undelivered;  // the last chunk not reported
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_GENERATION_ANSWER_H_
