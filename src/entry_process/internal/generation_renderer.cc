#include "entry_process/internal/generation_renderer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::entry_process {
namespace {

using protocol::GenerationApi;

std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string QuoteReason(protocol::FinishReason reason) {
  return Quote(NameOf(protocol::kFinishReasonNames, reason));
}

std::string UsageJson(const protocol::Usage& usage) {
  const nlohmann::ordered_json fields = {
      {"prompt_tokens", usage.prompt_tokens},
      {"completion_tokens", usage.output_tokens},
      {"total_tokens",
       std::uint64_t{usage.prompt_tokens} + usage.output_tokens},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
  return fields.dump();
}

// The text between the event's head and its content, and after the content.
struct TextFrame {
  std::string_view begin;
  std::string_view end;
};
constexpr TextFrame kChatText = {R"([{"index":0,"delta":{"content":)",
                                 R"(},"logprobs":null,"finish_reason":null}])"};
constexpr TextFrame kCompletionText = {
    R"([{"index":0,"text":)", R"(,"logprobs":null,"finish_reason":null}])"};

std::string_view ObjectOf(GenerationApi api, bool streamed) {
  if (api == GenerationApi::kCompletions) {
    return "text_completion";
  }
  return streamed ? "chat.completion.chunk" : "chat.completion";
}

}  // namespace

std::string RenderEvent(std::string_view json) {
  std::string event = "data: ";
  event += json;
  event += "\n\n";
  return event;
}

GenerationRenderer::GenerationRenderer(Options renderer_options)
    : options(std::move(renderer_options)) {
  const TextFrame& frame =
      this->options.api == GenerationApi::kChat ? kChatText : kCompletionText;
  this->event_head = "data: " + this->Head(ObjectOf(this->options.api, true));
  this->text_begin = this->event_head + std::string(frame.begin);
  this->text_end = std::string(frame.end) +
                   (this->options.include_usage ? ",\"usage\":null" : "") +
                   "}\n\n";
}

// Everything up to the list of choices.
std::string GenerationRenderer::Head(std::string_view object) const {
  const std::string_view prefix =
      this->options.api == GenerationApi::kChat ? "chatcmpl-" : "cmpl-";
  return R"({"id":")" + std::string(prefix) + ToString(this->options.request) +
         R"(","object":")" + std::string(object) + R"(","created":)" +
         std::to_string(this->options.created) + R"(,"model":)" +
         Quote(this->options.model.text) + R"(,"choices":)";
}

std::string GenerationRenderer::Event(std::string_view choice) const {
  return this->event_head + std::string(choice) +
         (this->options.include_usage ? ",\"usage\":null" : "") + "}\n\n";
}

std::string GenerationRenderer::BeginEvents() const {
  if (this->options.api != GenerationApi::kChat) {
    return {};
  }
  return this->Event(R"([{"index":0,"delta":{"role":"assistant","content":""},)"
                     R"("logprobs":null,"finish_reason":null}])");
}

void GenerationRenderer::AppendTextEvent(std::string_view text,
                                         std::string& events) const {
  events += this->text_begin;
  events += Quote(text);
  events += this->text_end;
}

std::string GenerationRenderer::EndEvents(protocol::FinishReason reason,
                                          const protocol::Usage& usage) const {
  const std::string_view content = this->options.api == GenerationApi::kChat
                                       ? R"("delta":{})"
                                       : R"("text":"")";
  std::string events = this->Event(R"([{"index":0,)" + std::string(content) +
                                   R"(,"logprobs":null,"finish_reason":)" +
                                   QuoteReason(reason) + "}]");
  if (this->options.include_usage) {
    events += this->event_head + "[],\"usage\":" + UsageJson(usage) + "}\n\n";
  }
  return events + RenderEvent("[DONE]");
}

std::string GenerationRenderer::Whole(std::string_view text,
                                      protocol::FinishReason reason,
                                      const protocol::Usage& usage) const {
  const std::string content =
      this->options.api == GenerationApi::kChat
          ? R"("message":{"role":"assistant","content":)" + Quote(text) + "}"
          : R"("text":)" + Quote(text);
  return this->Head(ObjectOf(this->options.api, false)) + R"([{"index":0,)" +
         content + R"(,"logprobs":null,"finish_reason":)" +
         QuoteReason(reason) + R"(}],"usage":)" + UsageJson(usage) + "}";
}

}  // namespace acacialug::entry_process
