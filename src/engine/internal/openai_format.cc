#include "engine/internal/openai_format.h"

#include <array>

#include "engine/internal/json_access.h"
#include "engine/internal/usual_stream_part.h"

namespace acacialug::engine {
namespace {

using protocol::GenerationApi;
using protocol::GenerationRequest;
using protocol::Outcome;
using protocol::Usage;

struct ErrorCodeRow {
  std::string_view engine_code;
  Failure failure;
};

// The error codes that engines use for refusals; with each of them nothing ran.
constexpr std::array<ErrorCodeRow, 3> kErrorCodes = {{
    {"kv_expired", {ResultCode::kExportExpired, Outcome::kNotRun}},
    {"memory_full", {ResultCode::kNoDecodeMemory, Outcome::kNotRun}},
    {"model_not_found", {ResultCode::kUnknownModel, Outcome::kNotRun}},
}};

const ErrorCodeRow* FindErrorCode(std::string_view engine_code) {
  for (const ErrorCodeRow& row : kErrorCodes) {
    if (row.engine_code == engine_code) {
      return &row;
    }
  }
  return nullptr;
}

std::string ErrorCodeOf(const Json& answer) {
  return Text(Member(Member(answer, "error"), "code"));
}

Status AppendToPrompt(Json& body, const std::string& text) {
  Json& prompt = body["prompt"];
  if (prompt.is_array() && prompt.size() == 1 && prompt.front().is_string()) {
    prompt = Json(prompt.front());
  }
  if (!prompt.is_string()) {
    return Error(ResultCode::kInvalidParameter,
                 "a prompt of token ids cannot be resumed");
  }
  prompt.get_ref<std::string&>() += text;
  return Success{};
}

Status AppendToMessages(Json& body, const std::string& text) {
  Json& messages = body["messages"];
  if (!messages.is_array()) {
    return Error(ResultCode::kInvalidParameter, "messages is no array");
  }
  messages.push_back({{"role", "assistant"}, {"content", text}});
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
  return Success{};
}

Status Resume(Json& body, const GenerationRequest& request) {
  if (request.resumed_text.empty()) {
    return Success{};
  }
  return request.api == GenerationApi::kChat
             ? AppendToMessages(body, request.resumed_text)
             : AppendToPrompt(body, request.resumed_text);
}

// The caller's body, in which the members that this system decides are
// replaced.
Result<Json> CommonBody(const GenerationRequest& request) {
  Json body = ParseJson(request.body);
  if (!body.is_object()) {
    return Error(ResultCode::kMalformedJson, "the body is no JSON object");
  }
  for (const char* decided_here :
       {"max_completion_tokens", "stream_options", "kv_transfer_params"}) {
    body.erase(decided_here);
  }
  body["model"] = request.model.text;
  body["priority"] = request.priority;
  const Status resumed = Resume(body, request);
  if (!resumed.ok()) {
    return resumed.error();
  }
  return body;
}

Usage ParseUsage(const Json& usage) {
  return {.prompt_tokens = Unsigned32(Member(usage, "prompt_tokens")),
          .cached_tokens = Unsigned32(
              Member(Member(usage, "prompt_tokens_details"), "cached_tokens")),
          .output_tokens = Unsigned32(Member(usage, "completion_tokens"))};
}

// Null when there is no choice: the last event of a stream has only the usage.
const Json& FirstChoice(const Json& answer) {
  static const Json kNone;
  for (const Json& choice : Member(answer, "choices")) {
    if (Unsigned(Member(choice, "index")) == 0) {
      return choice;
    }
  }
  return kNone;
}

Status ParseChoice(const Json& choice, StreamPart& part) {
  const Json& delta = Member(choice, "delta");
  part.text = Text(delta.is_object() ? Member(delta, "content")
                                     : Member(choice, "text"));
  const Json& reason = Member(choice, "finish_reason");
  if (!reason.is_null()) {
    part.reason = ValueOf(protocol::kFinishReasonNames, Text(reason));
    if (!part.reason) {
      return Error(ResultCode::kEngineBadAnswer, "finish_reason");
    }
  }
  return Success{};
}

}  // namespace

std::string_view GenerationPath(GenerationApi api) {
  return api == GenerationApi::kChat ? "/v1/chat/completions"
                                     : "/v1/completions";
}

Result<std::string> PrefillBody(const GenerationRequest& request) {
  Result<Json> body = CommonBody(request);
  if (!body.ok()) {
    return body.error();
  }
  body.value()["max_tokens"] = 1;
  body.value()["stream"] = false;
  body.value().erase("min_tokens");
  body.value()["kv_transfer_params"] = {
      {"do_remote_decode", true},    {"do_remote_prefill", false},
      {"remote_engine_id", nullptr}, {"remote_block_ids", nullptr},
      {"remote_host", nullptr},      {"remote_port", nullptr}};
  return Dump(body.value());
}

Result<std::string> DecodeBody(const GenerationRequest& request,
                               const protocol::KvHandle& kv) {
  Result<Json> body = CommonBody(request);
  if (!body.ok()) {
    return body.error();
  }
  body.value()["max_tokens"] = request.max_tokens;
  body.value()["stream"] = true;
  body.value()["stream_options"] = {{"include_usage", true},
                                    {"continuous_usage_stats", true}};
  if (!kv.transfer_params.empty()) {
    Json params = ParseJson(kv.transfer_params);
    if (!params.is_object()) {
      return Error(ResultCode::kMalformedJson, "kv_transfer_params");
    }
    body.value()["kv_transfer_params"] = std::move(params);
  }
  return Dump(body.value());
}

Result<PrefillAnswer> ParsePrefillAnswer(std::string_view body) {
  const Json answer = ParseJson(body);
  const Json& params = Member(answer, "kv_transfer_params");
  const Json& usage = Member(answer, "usage");
  if (!params.is_object() || !usage.is_object()) {
    return Error(ResultCode::kEngineBadAnswer, "no export in the answer");
  }
  return PrefillAnswer{.transfer_params = Dump(params),
                       .usage = ParseUsage(usage)};
}

Result<StreamPart> ParseStreamPart(std::string_view data) {
  if (std::optional<StreamPart> usual = ReadUsualStreamPart(data)) {
    return *std::move(usual);
  }
  const Json event = ParseJson(data);
  if (!event.is_object()) {
    return Error(ResultCode::kEngineBadAnswer, "event is no JSON object");
  }
  StreamPart part;
  if (event.contains("error")) {
    // The stream had begun, so nothing proves that the attempt did not run.
    const ErrorCodeRow* row = FindErrorCode(ErrorCodeOf(event));
    part.failure = Failure{};
    if (row != nullptr) {
      part.failure->code = row->failure.code;
    }
    return part;
  }
  if (Member(event, "usage").is_object()) {
    part.usage = ParseUsage(event["usage"]);
  }
  const Status choice = ParseChoice(FirstChoice(event), part);
  if (!choice.ok()) {
    return choice.error();
  }
  return part;
}

Failure FailureOf(int status, std::string_view body) {
  const ErrorCodeRow* row = FindErrorCode(ErrorCodeOf(ParseJson(body)));
  if (row != nullptr) {
    return row->failure;
  }
  constexpr int kBadRequest = 400;
  constexpr int kUnprocessable = 422;
  if (status == kBadRequest || status == kUnprocessable) {
    return {ResultCode::kInvalidParameter, Outcome::kNotRun};
  }
  return {};
}

Result<std::vector<AttemptId>> ParseHeld(std::string_view body) {
  const Json answer = ParseJson(body);
  const Json& requests = Member(answer, "requests");
  if (!requests.is_array()) {
    return Error(ResultCode::kEngineBadAnswer, "no list of requests");
  }
  std::vector<AttemptId> attempts;
  for (const Json& request : requests) {
    if (const auto attempt =
            ParseAttemptId(Text(Member(request, "request_id")))) {
      attempts.push_back(*attempt);
    }
  }
  return attempts;
}

std::string AbortBody(const std::vector<AttemptId>& attempts) {
  Json ids = Json::array();
  for (const AttemptId& attempt : attempts) {
    ids.push_back(ToString(attempt));
  }
  return Dump({{"request_ids", std::move(ids)}});
}

std::string OrderBody(const Order& order) {
  return Dump({{"fence", order.fencing_token.value},
               {"model", order.model.text},
               {"version", order.version},
               {"adapters", order.adapters},
               {"role", order.role}});
}

ResultCode ParseOrderAnswer(int status, std::string_view body) {
  constexpr int kOkStatus = 200;
  if (status == kOkStatus) {
    return ResultCode::kOk;
  }
  return ErrorCodeOf(ParseJson(body)) == "fenced" ? ResultCode::kOrderFenced
                                                  : ResultCode::kOrderRefused;
}

Result<EngineState> ParseState(std::string_view body) {
  const Json answer = ParseJson(body);
  if (!Member(answer, "model").is_string()) {
    return Error(ResultCode::kEngineBadAnswer, "no model in the state");
  }
  EngineState state{
      .fencing_token = LogOffset(Unsigned(Member(answer, "fence"))),
      .model = ModelName(Text(answer["model"])),
      .version = Text(Member(answer, "version")),
      .role = Text(Member(answer, "role")),
      .loading = Member(answer, "loading") == Json(true)};
  for (const Json& adapter : Member(answer, "adapters")) {
    state.adapters.push_back(Text(adapter));
  }
  return state;
}

}  // namespace acacialug::engine
