#ifndef ENGINE_INTERNAL_OPENAI_FORMAT_H_
#define ENGINE_INTERNAL_OPENAI_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/types/engine_messages.h"
#include "framework/global/types/result.h"

// The JSON of the OpenAI-compatible API and of vLLM's disaggregated prefill
// (`kv_transfer_params`): takes text and returns typed values. Pure functions,
// thread safe.
namespace acacialug::engine {

// The reason for which an attempt failed, as far as the engine's answer gives
// it.
struct Failure {
  ResultCode code = ResultCode::kEngineFailed;
  protocol::Outcome outcome = protocol::Outcome::kUnknown;
};

// "/v1/completions" or "/v1/chat/completions".
std::string_view GenerationPath(protocol::GenerationApi api);

// Bodies of the requests. Errors: kMalformedJson, and kInvalidParameter for a
// prompt that cannot be resumed by appending text.
Result<std::string> PrefillBody(const protocol::GenerationRequest& request);
Result<std::string> DecodeBody(const protocol::GenerationRequest& request,
                               const protocol::KvHandle& kv);

struct PrefillAnswer {
  std::string transfer_params;
  protocol::Usage usage;
};
// Errors: kEngineBadAnswer.
Result<PrefillAnswer> ParsePrefillAnswer(std::string_view body);

// The content of one server-sent event of a stream.
struct StreamPart {
  std::string text;
  std::optional<protocol::FinishReason> reason;
  std::optional<protocol::Usage> usage;
  std::optional<Failure> failure;
};
// Errors: kEngineBadAnswer. `[DONE]` is not a part.
Result<StreamPart> ParseStreamPart(std::string_view data);

// The failure for an HTTP error that comes before any part of an answer.
Failure FailureOf(int status, std::string_view body);

// The attempts among the request ids of `GET /requests`; ids that name no
// attempt are left out. Errors: kEngineBadAnswer.
Result<std::vector<AttemptId>> ParseHeld(std::string_view body);

std::string AbortBody(const std::vector<AttemptId>& attempts);
std::string OrderBody(const Order& order);
// kOk, kOrderFenced or kOrderRefused.
ResultCode ParseOrderAnswer(int status, std::string_view body);
// Errors: kEngineBadAnswer.
Result<EngineState> ParseState(std::string_view body);

}  // namespace acacialug::engine

#endif  // ENGINE_INTERNAL_OPENAI_FORMAT_H_
