#include "standin/internal/completion_format.h"

#include <array>
#include <cstdio>
#include <limits>
#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/prompt_text.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;
using protocol::GenerationApi;

constexpr std::int64_t kDefaultMaxTokens = 256;

struct ErrorRow {
  EngineError error;
  int status;
};

constexpr std::array<ErrorRow, 12> kErrorStatus = {{
    {EngineError::kMemoryFull, 503},
    {EngineError::kQueueFull, 503},
    {EngineError::kLoading, 503},
    {EngineError::kRefused, 503},
    {EngineError::kWrongRole, 503},
    {EngineError::kUnknownModel, 404},
    {EngineError::kContextTooLong, 400},
    {EngineError::kDuplicate, 409},
    {EngineError::kKvExpired, 404},
    {EngineError::kFailed, 500},
    {EngineError::kModelReplaced, 500},
    {EngineError::kRestarted, 500},
}};

int StatusOf(EngineError error) {
  for (const ErrorRow& row : kErrorStatus) {
    if (row.error == error) {
      return row.status;
    }
  }
  return 500;
}

json UsageJson(const protocol::Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.output_tokens},
          {"total_tokens", usage.prompt_tokens + usage.output_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

bool IsChat(const CompletionHead& head) {
  return head.api == GenerationApi::kChat;
}

json AnswerHead(const CompletionHead& head, bool chunk) {
  const char* object =
      IsChat(head) ? (chunk ? "chat.completion.chunk" : "chat.completion")
                   : "text_completion";
  return {{"id", head.request_id},
          {"object", object},
          {"created", 0},
          {"model", head.model}};
}

std::string Event(const json& data) {
  return "data: " + Dump(data) + "\n\n";
}

std::optional<RemoteKv> ReadRemoteKv(const json& params) {
  if (!BoolOr(params, "do_remote_prefill", false)) {
    return std::nullopt;
  }
  return RemoteKv{
      .engine_id = TextOr(params, "remote_engine_id", ""),
      .request_id = TextOr(params, "remote_request_id", ""),
      .address = TextOr(params, "remote_host", "") + ":" +
                 std::to_string(IntegerOr(params, "remote_port", 0))};
}

std::int64_t ReadMaxTokens(const json& body) {
  return IntegerOr(body, "max_tokens",
                   IntegerOr(body, "max_completion_tokens", kDefaultMaxTokens));
}

}  // namespace

Result<CompletionRequest> ReadCompletion(GenerationApi api,
                                         std::string_view text,
                                         std::string request_id) {
  const json body = Parse(text);
  Result<std::string> prompt = PromptTextOf(api, body);
  if (!prompt) {
    return prompt.error();
  }
  const std::int64_t max_tokens = ReadMaxTokens(body);
  if (max_tokens < 1 || max_tokens > std::numeric_limits<int>::max()) {
    return Error(ResultCode::kInvalidParameter, "max_tokens");
  }
  const json options = ChildOr(body, "stream_options");
  const json params = ChildOr(body, "kv_transfer_params");
  return CompletionRequest{
      .api = api,
      .work = {.request_id = std::move(request_id),
               .model = TextOr(body, "model", ""),
               .priority =
                   static_cast<std::int32_t>(IntegerOr(body, "priority", 0)),
               .prompt = std::move(prompt.value()),
               .max_tokens = static_cast<std::uint32_t>(max_tokens),
               .export_kv = BoolOr(params, "do_remote_decode", false),
               .import_kv = ReadRemoteKv(params)},
      .stream = BoolOr(body, "stream", false),
      .include_usage = BoolOr(options, "include_usage", false),
      .continuous_usage = BoolOr(options, "continuous_usage_stats", false)};
}

CompletionHead MakeHead(GenerationApi api,
                        const std::string& request_id,
                        const std::string& model) {
  CompletionHead head{.api = api, .request_id = request_id, .model = model};
  std::string begin = Dump(AnswerHead(head, /*chunk=*/true));
  begin.pop_back();  // the closing brace
  head.chunk_begin = "data: " + begin + R"(,"choices":[{"index":0,)";
  return head;
}

http::Response ErrorResponse(EngineError error) {
  const std::string_view name = NameOf(kEngineErrorNames, error);
  return ErrorResponse(StatusOf(error), name, name);
}

std::string RoleEvent(const CompletionHead& head) {
  if (!IsChat(head)) {
    return {};
  }
  json event = AnswerHead(head, /*chunk=*/true);
  event["choices"] = {{{"index", 0},
                       {"delta", {{"role", "assistant"}, {"content", ""}}},
                       {"finish_reason", nullptr}}};
  return Event(event);
}

// Called for each token, so that it builds no JSON value.
std::string TextEvent(const CompletionHead& head,
                      std::string_view text,
                      const std::optional<protocol::Usage>& usage) {
  std::string event = head.chunk_begin;
  event += IsChat(head) ? R"("delta":{"content":")" : R"("text":")";
  event += text;
  event += IsChat(head) ? R"("},"finish_reason":null}])"
                        : R"(","logprobs":null,"finish_reason":null}])";
  if (usage) {
    event += R"(,"usage":)" + Dump(UsageJson(*usage));
  }
  return event += "}\n\n";
}

std::string FinishEvent(const CompletionHead& head,
                        protocol::FinishReason reason) {
  json event = AnswerHead(head, /*chunk=*/true);
  json choice = {
      {"index", 0},
      {"finish_reason", NameOf(protocol::kFinishReasonNames, reason)}};
  if (IsChat(head)) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  event["choices"] = json::array({std::move(choice)});
  return Event(event);
}

std::string UsageEvent(const CompletionHead& head,
                       const protocol::Usage& usage) {
  json event = AnswerHead(head, /*chunk=*/true);
  event["choices"] = json::array();
  event["usage"] = UsageJson(usage);
  return Event(event);
}

std::string ErrorEvent(EngineError error) {
  const std::string_view name = NameOf(kEngineErrorNames, error);
  return Event(ErrorJson(StatusOf(error), name, name));
}

http::Response WholeAnswer(const CompletionHead& head,
                           const std::string& text,
                           protocol::FinishReason reason,
                           const protocol::Usage& usage) {
  json answer = AnswerHead(head, /*chunk=*/false);
  json choice = {
      {"index", 0},
      {"finish_reason", NameOf(protocol::kFinishReasonNames, reason)}};
  if (IsChat(head)) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  answer["choices"] = json::array({std::move(choice)});
  answer["usage"] = UsageJson(usage);
  return JsonResponse(200, answer);
}

http::Response PrefillAnswer(const CompletionHead& head,
                             const PrefillReady& ready,
                             const std::string& engine_id,
                             const http::Address& address) {
  json answer = AnswerHead(head, /*chunk=*/false);
  answer["choices"] = {
      {{"index", 0}, {"text", ""}, {"finish_reason", "length"}}};
  answer["usage"] = UsageJson({.prompt_tokens = ready.prompt_tokens,
                               .cached_tokens = ready.cached_tokens,
                               .output_tokens = 1});
  answer["kv_transfer_params"] = {{"do_remote_prefill", true},
                                  {"do_remote_decode", false},
                                  {"remote_engine_id", engine_id},
                                  {"remote_block_ids", json::array({1})},
                                  {"remote_host", address.ip},
                                  {"remote_port", address.port},
                                  {"remote_request_id", ready.request_id}};
  return JsonResponse(200, answer);
}

}  // namespace acacialug::standin
