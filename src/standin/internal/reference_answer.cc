#include "standin/reference_answer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "standin/internal/prompt_text.h"

// Declares the state types. The functions are not inlined, since the linter
// reports the inline versions.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kAnswerMark = "[answer-tokens=";

std::string TokenOf(std::uint64_t hash) {
  std::array<char, kTokenBytes + 1> text{};
  std::snprintf(text.data(), text.size(), " w%04x",
                static_cast<unsigned>(hash & 0xffffU));
  return {text.data(), kTokenBytes};
}

bool LooksLikeToken(std::string_view text) {
  return text.starts_with(" w") &&
         text.substr(2).find_first_not_of("0123456789abcdef") ==
             std::string_view::npos;
}

std::optional<std::uint32_t> AskedTokens(std::string_view text) {
  const std::size_t mark = text.find(kAnswerMark);
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(mark + kAnswerMark.size());
  std::uint32_t tokens = 0;
  const auto [end, error] =
      std::from_chars(rest.data(), rest.data() + rest.size(), tokens);
  const bool closed = end != rest.data() + rest.size() && *end == ']';
  return error == std::errc() && closed ? std::optional(tokens) : std::nullopt;
}

Error Malformed(std::string_view what) {
  return {ResultCode::kMalformedJson, std::string(what)};
}

// Content is text, or a list of parts, of which only the text parts count.
std::optional<std::string> ContentText(const json& message) {
  const auto content = message.find("content");
  if (content == message.end() || content->is_null()) {
    return "";
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return std::nullopt;
  }
  std::string text;
  for (const json& part : *content) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      text += part["text"].get<std::string>();
    }
  }
  return text;
}

Result<std::string> ChatText(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Malformed("messages: a list with at least one message");
  }
  const auto flag = body.find("continue_final_message");
  const bool continued =
      flag != body.end() && flag->is_boolean() && flag->get<bool>();
  std::string text;
  std::string tail;
  for (std::size_t index = 0; index < messages->size(); ++index) {
    const json& message = (*messages)[index];
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return Malformed("messages: each has a role");
    }
    std::optional<std::string> content = ContentText(message);
    if (!content) {
      return Malformed("messages: content is text or a list of parts");
    }
    if (continued && index + 1 == messages->size()) {
      tail = *std::move(content);
    } else {
      text += message["role"].get<std::string>() + ": " + *content + "\n";
    }
  }
  return text + "assistant: " + tail;
}

}  // namespace

std::uint32_t PromptTokens(std::string_view text) {
  return static_cast<std::uint32_t>((text.size() + kPromptBytesPerToken - 1) /
                                    kPromptBytesPerToken);
}

Result<std::string> PromptText(protocol::GenerationApi api,
                               std::string_view body) {
  return PromptTextOf(api,
                      json::parse(body, nullptr, /*allow_exceptions=*/false));
}

Result<std::string> PromptTextOf(protocol::GenerationApi api,
                                 const json& body) {
  if (!body.is_object()) {
    return Malformed("the body is no JSON object");
  }
  if (api == protocol::GenerationApi::kChat) {
    return ChatText(body);
  }
  const auto found = body.find("prompt");
  if (found == body.end()) {
    return Malformed("prompt: missing");
  }
  const bool listed = found->is_array() && found->size() == 1;
  const json& prompt = listed ? found->front() : *found;
  if (!prompt.is_string()) {
    return Malformed("prompt: one text");
  }
  return prompt.get<std::string>();
}

struct TokenGenerator::State {
  XXH64_state_t hash{};

  void Take(std::string_view text) {
    XXH64_update(&this->hash, text.data(), text.size());
  }
  std::string Peek() const { return TokenOf(XXH64_digest(&this->hash)); }
};

TokenGenerator::TokenGenerator(std::string_view text)
    : state(std::make_unique<State>()) {
  XXH64_reset(&this->state->hash, 0);
  this->state->Take(text);
}

TokenGenerator::~TokenGenerator() = default;
TokenGenerator::TokenGenerator(TokenGenerator&&) noexcept = default;
TokenGenerator& TokenGenerator::operator=(TokenGenerator&&) noexcept = default;

std::string TokenGenerator::Next() {
  std::string token = this->state->Peek();
  this->state->Take(token);
  return token;
}

std::uint32_t ResumedTokens(std::string_view text) {
  std::size_t begin = text.size();
  while (begin >= kTokenBytes &&
         LooksLikeToken(text.substr(begin - kTokenBytes, kTokenBytes))) {
    begin -= kTokenBytes;
  }
  if (begin == text.size()) {
    return 0;
  }
  // Text that only looks like a token is the caller's own: the count restarts
  // after it.
  TokenGenerator generator(text.substr(0, begin));
  std::uint32_t count = 0;
  for (; begin < text.size(); begin += kTokenBytes) {
    const std::string_view found = text.substr(begin, kTokenBytes);
    if (generator.Next() == found) {
      ++count;
    } else {
      count = 0;
      generator = TokenGenerator(text.substr(0, begin + kTokenBytes));
    }
  }
  return count;
}

AnswerPlan PlanAnswer(std::string_view text, std::uint32_t max_tokens) {
  AnswerPlan plan;
  plan.prompt_tokens = PromptTokens(text);
  plan.resumed_tokens = ResumedTokens(text);
  plan.output_tokens = max_tokens;
  const std::optional<std::uint32_t> asked = AskedTokens(text);
  if (asked && *asked < std::uint64_t{plan.resumed_tokens} + max_tokens) {
    plan.output_tokens =
        *asked - std::min<std::uint32_t>(*asked, plan.resumed_tokens);
    plan.reason = protocol::FinishReason::kStop;
  }
  return plan;
}

ReferenceAnswer MakeReferenceAnswer(std::string_view text,
                                    std::uint32_t max_tokens) {
  ReferenceAnswer answer;
  answer.plan = PlanAnswer(text, max_tokens);
  answer.text.reserve(answer.plan.output_tokens * kTokenBytes);
  TokenGenerator generator(text);
  for (std::uint32_t made = 0; made < answer.plan.output_tokens; ++made) {
    answer.text += generator.Next();
  }
  return answer;
}

protocol::PrefixChain PrefixHashes(std::string_view text,
                                   std::uint32_t block_tokens) {
  const std::size_t block_bytes =
      std::size_t{block_tokens} * kPromptBytesPerToken;
  protocol::PrefixChain chain;
  chain.reserve(text.size() / block_bytes);
  XXH64_state_t hash{};
  XXH64_reset(&hash, 0);
  for (std::size_t end = block_bytes; end <= text.size(); end += block_bytes) {
    XXH64_update(&hash, text.data() + end - block_bytes, block_bytes);
    chain.push_back(XXH64_digest(&hash));
  }
  return chain;
}

std::string ReferenceServiceAnswer(std::string_view method,
                                   std::string_view target,
                                   std::string_view body) {
  std::string asked(method);
  asked.append(" ").append(target).append("\n").append(body);
  std::array<char, 17> receipt{};
  std::snprintf(
      receipt.data(), receipt.size(), "%016llx",
      static_cast<unsigned long long>(XXH64(asked.data(), asked.size(), 0)));
  return "{\"bytes\":" + std::to_string(body.size()) + ",\"receipt\":\"" +
         receipt.data() + "\"}";
}

}  // namespace acacialug::standin
