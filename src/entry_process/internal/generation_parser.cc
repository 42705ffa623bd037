#include "entry_process/internal/generation_parser.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "entry_process/internal/json_bounds.h"
#include "entry_process/internal/parameter_rules.h"

namespace acacialug::entry_process {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestName = 256;

// Absent and null mean the same in this API.
const json* Find(const json& body, std::string_view name) {
  const auto found = body.find(name);
  return found == body.end() || found->is_null() ? nullptr : &*found;
}

Result<std::string> ReadName(const json& body,
                             std::string_view name,
                             bool required) {
  const json* value = Find(body, name);
  if (value == nullptr && !required) {
    return std::string();
  }
  if (value == nullptr || !value->is_string() ||
      value->get_ref<const std::string&>().empty() ||
      value->get_ref<const std::string&>().size() > kLongestName) {
    return ParameterError(name, "expected a string of 1 to 256 bytes");
  }
  return value->get<std::string>();
}

Result<bool> ReadFlag(const json& body, std::string_view name) {
  const json* value = Find(body, name);
  if (value != nullptr && !value->is_boolean()) {
    return ParameterError(name, "expected true or false");
  }
  return value != nullptr && value->get<bool>();
}

// Zero when absent.
Result<std::uint32_t> ReadCount(const json& body, std::string_view name) {
  const json* value = Find(body, name);
  if (value == nullptr) {
    return std::uint32_t{0};
  }
  constexpr std::uint64_t kMost = std::numeric_limits<std::int32_t>::max();
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() < 1 ||
      value->get<std::uint64_t>() > kMost) {
    return ParameterError(name, "expected a whole number from 1 up");
  }
  return value->get<std::uint32_t>();
}

Result<std::uint32_t> ReadMaxTokens(const json& body) {
  Result<std::uint32_t> plain = ReadCount(body, "max_tokens");
  Result<std::uint32_t> completion = ReadCount(body, "max_completion_tokens");
  if (!plain.ok() || !completion.ok()) {
    return plain.ok() ? completion : plain;
  }
  if (plain.value() != 0 && completion.value() != 0 &&
      plain.value() != completion.value()) {
    return ParameterError("max_completion_tokens", "contradicts max_tokens");
  }
  return plain.value() != 0 ? plain : completion;
}

Status ReadStreamOptions(const json& body, ParsedGeneration& parsed) {
  const Result<bool> stream = ReadFlag(body, "stream");
  if (!stream.ok()) {
    return stream.error();
  }
  parsed.stream = stream.value();
  const json* options = Find(body, "stream_options");
  if (options == nullptr) {
    return Success{};
  }
  if (!options->is_object() || !parsed.stream) {
    return ParameterError("stream_options",
                          "expected an object, with stream true");
  }
  const Result<bool> usage = ReadFlag(*options, "include_usage");
  const Result<bool> each = ReadFlag(*options, "continuous_usage_stats");
  if (!usage.ok() || !each.ok() || each.value()) {
    return ParameterError("stream_options",
                          "only include_usage, true or false, is supported");
  }
  parsed.include_usage = usage.value();
  return Success{};
}

std::optional<std::string> ReadContent(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  if (!content.is_array() || content.empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const json& part : content) {
    if (!part.is_object() || !part.contains("type") || part["type"] != "text" ||
        !part.contains("text") || !part["text"].is_string()) {
      return std::nullopt;
    }
    text += part["text"].get_ref<const std::string&>();
  }
  return text;
}

bool IsKnownRole(std::string_view role) {
  return role == "system" || role == "developer" || role == "user" ||
         role == "assistant";
}

// The text is written roughly as the engine's template does, "role: content",
// since only equal prefixes matter: the text serves to choose endpoints for the
// prompt, and the engine reads the body itself.
Result<std::string> ReadMessages(const json& body) {
  const json* messages = Find(body, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty()) {
    return ParameterError("messages", "expected a list of messages");
  }
  std::string text;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const std::string name = "messages[" + std::to_string(i) + "]";
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() ||
        !IsKnownRole(message["role"].get_ref<const std::string&>())) {
      return ParameterError(name + ".role",
                            "expected system, developer, user or assistant");
    }
    if (Find(message, "tool_calls") != nullptr ||
        Find(message, "function_call") != nullptr) {
      return ParameterError(name, "calls of tools are not supported");
    }
    const json* content = Find(message, "content");
    const std::optional<std::string> words =
        content == nullptr ? std::nullopt : ReadContent(*content);
    if (!words) {
      return ParameterError(name + ".content",
                            "expected a string or a list of text parts");
    }
    text +=
        message["role"].get_ref<const std::string&>() + ": " + *words + "\n";
  }
  return text + "assistant: ";
}

Result<std::string> ReadPrompt(const json& body) {
  const json* prompt = Find(body, "prompt");
  if (prompt == nullptr || !prompt->is_string() ||
      prompt->get_ref<const std::string&>().empty()) {
    return ParameterError("prompt", "expected a string that is not empty");
  }
  return prompt->get<std::string>();
}

Result<json> ParseBody(const std::string& text) {
  if (!JsonWithinBounds(text, {})) {
    return Error(ResultCode::kMalformedJson,
                 "the body is nested too deeply or has too many values");
  }
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded() || !body.is_object()) {
    return Error(ResultCode::kMalformedJson, "expected one JSON object");
  }
  return body;
}

}  // namespace

Result<ParsedGeneration> ParseGeneration(protocol::GenerationApi api,
                                         std::string body) {
  const Result<json> read = ParseBody(body);
  if (!read.ok()) {
    return read.error();
  }
  const json& fields = read.value();
  Result<std::string> model = ReadName(fields, "model", true);
  Result<std::string> prompt = api == protocol::GenerationApi::kChat
                                   ? ReadMessages(fields)
                                   : ReadPrompt(fields);
  Result<std::string> user = ReadName(fields, "user", false);
  for (Result<std::string>* part : {&model, &prompt, &user}) {
    if (!part->ok()) {
      return part->error();
    }
  }
  const Result<std::uint32_t> max_tokens = ReadMaxTokens(fields);
  if (!max_tokens.ok()) {
    return max_tokens.error();
  }
  ParsedGeneration parsed{.prompt_text = std::move(prompt.value()),
                          .user = std::move(user.value())};
  const Status stream = ReadStreamOptions(fields, parsed);
  if (!stream.ok()) {
    return stream.error();
  }
  const Status rules = CheckParameters(fields);
  if (!rules.ok()) {
    return rules.error();
  }
  parsed.generation = {.api = api,
                       .model = ModelName(std::move(model.value())),
                       .body = std::move(body),
                       .max_tokens = max_tokens.value()};
  return parsed;
}

}  // namespace acacialug::entry_process
