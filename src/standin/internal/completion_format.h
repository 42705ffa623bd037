#ifndef STANDIN_INTERNAL_COMPLETION_FORMAT_H_
#define STANDIN_INTERNAL_COMPLETION_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "protocol/types/generation.h"
#include "standin/types/engine_messages.h"

// The OpenAI-compatible API of the model engines, with vLLM's
// `kv_transfer_params`. All functions are thread safe.
namespace acacialug::standin {

// One parsed request.
struct CompletionRequest {
  protocol::GenerationApi api = protocol::GenerationApi::kCompletions;
  EngineWork work;
  bool stream = false;
  bool include_usage = false;
  bool continuous_usage = false;  // in each chunk
};

// Errors: kMalformedJson, kInvalidParameter.
Result<CompletionRequest> ReadCompletion(protocol::GenerationApi api,
                                         std::string_view body,
                                         std::string request_id);

// The fields that all answers to one request share.
struct CompletionHead {
  protocol::GenerationApi api = protocol::GenerationApi::kCompletions;
  std::string request_id;
  std::string model;
  std::string chunk_begin;  // the beginning of each event of a stream, up to
                            // the choices
};

CompletionHead MakeHead(protocol::GenerationApi api,
                        const std::string& request_id,
                        const std::string& model);

http::Response ErrorResponse(EngineError error);

// The events of a stream, each with its terminating blank line.
std::string RoleEvent(const CompletionHead& head);
// Precondition: `text` needs no escapes in JSON, as the tokens of stand-ins.
std::string TextEvent(const CompletionHead& head,
                      std::string_view text,
                      const std::optional<protocol::Usage>& usage);
std::string FinishEvent(const CompletionHead& head,
                        protocol::FinishReason reason);
std::string UsageEvent(const CompletionHead& head,
                       const protocol::Usage& usage);
std::string ErrorEvent(EngineError error);
inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

http::Response WholeAnswer(const CompletionHead& head,
                           const std::string& text,
                           protocol::FinishReason reason,
                           const protocol::Usage& usage);

// The answer to a prefill, with the address of its KV cache.
http::Response PrefillAnswer(const CompletionHead& head,
                             const PrefillReady& ready,
                             const std::string& engine_id,
                             const http::Address& address);

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_COMPLETION_FORMAT_H_
