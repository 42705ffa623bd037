#include "engine/internal/usual_stream_part.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"

namespace acacialug::engine {
namespace {

using protocol::FinishReason;
using testing::ForEach;

struct Event {
  std::string name;
  std::string data;
  bool usual = false;  // read without a JSON tree
  bool good = true;
  std::string text;
  std::optional<FinishReason> reason;
  std::optional<protocol::Usage> usage;
  bool failure = false;
};

const std::vector<Event> kEvents = {
    {.name = "a completion's text with what else engines send",
     .data = R"({"id":"c","object":"text_completion","created":1,"model":"m",)"
             R"("choices":[{"index":0,"text":" a","logprobs":null,)"
             R"("finish_reason":null}],"usage":{"prompt_tokens":12,)"
             R"("completion_tokens":3,"total_tokens":15,)"
             R"("prompt_tokens_details":{"cached_tokens":4}}})",
     .usual = true,
     .text = " a",
     .usage = {{.prompt_tokens = 12, .cached_tokens = 4, .output_tokens = 3}}},
    {.name = "a chat's delta, with escapes",
     .data = R"({"choices":[{"delta":{"role":"assistant",)"
             R"("content":"\u00e9\n"},"index":0}],"usage":null})",
     .usual = true,
     .text = "\xc3\xa9\n"},
    {.name = "names that count, where they do not",
     .data = R"({"meta":{"choices":[{"text":"x"}],"error":1,"usage":{}},)"
             R"("choices":[{"logprobs":{"text":["y"],"content":"z",)"
             R"("finish_reason":"q"},"text":"a"}]})",
     .usual = true,
     .text = "a"},
    {.name = "an end",
     .data = R"({"choices":[{"index":0,"text":"","finish_reason":"length"}]})",
     .usual = true,
     .reason = FinishReason::kLength},
    {.name = "usage alone, with numbers that no usage has",
     .data = R"({"choices":[],"usage":{"prompt_tokens":-1,)"
             R"("completion_tokens":99999999999}})",
     .usual = true,
     .usage = {{.output_tokens = 0xffffffffU}}},
    {.name = "members of other types",
     .data = R"({"choices":[{"delta":[],"text":"a","index":null}],"usage":7})",
     .usual = true,
     .text = "a"},
    {.name = "no choices", .data = R"({"choices":null})", .usual = true},
    {.name = "a delta before a text",
     .data = R"({"choices":[{"text":"t","delta":{}}]})",
     .usual = true},
    {.name = "several choices, the first last",
     .data = R"({"choices":[{"index":1,"text":"b"},{"index":0,"text":"a"}]})",
     .text = "a"},
    {.name = "a member that stands twice",
     .data = R"({"choices":[{"text":"a","text":"b"}]})",
     .text = "b"},
    {.name = "an error beside a choice",
     .data = R"({"choices":[{"text":"a"}],"error":null})",
     .failure = true},
    {.name = "a choice that is no object", .data = R"({"choices":["a"]})"},
    {.name = "an unknown reason",
     .data = R"({"choices":[{"text":"a","finish_reason":"odd"}]})",
     .good = false},
    {.name = "a reason that is no text",
     .data = R"({"choices":[{"finish_reason":{"stop":1}}]})",
     .good = false},
    {.name = "no object", .data = R"([{"choices":[]}])", .good = false},
    {.name = "a number", .data = "7", .good = false},
    {.name = "half an event", .data = R"({"choices":[{"te)", .good = false},
    {.name = "more behind the event", .data = "{} {}", .good = false},
    {.name = "no UTF-8",
     .data = "{\"choices\":[{\"text\":\"\xff\"}]}",
     .good = false},
};

void IsReadAsItsFormSays(const Event& event) {
  CPPUNIT_ASSERT_EQUAL(event.usual,
                       ReadUsualStreamPart(event.data).has_value());
  const Result<StreamPart> part = ParseStreamPart(event.data);
  CPPUNIT_ASSERT_EQUAL(event.good, part.ok());
  if (!event.good) {
    CPPUNIT_ASSERT(part.error().code == ResultCode::kEngineBadAnswer);
    return;
  }
  CPPUNIT_ASSERT_EQUAL(event.text, part->text);
  CPPUNIT_ASSERT(event.reason == part->reason);
  CPPUNIT_ASSERT_EQUAL(event.failure, part->failure.has_value());
  CPPUNIT_ASSERT_EQUAL(event.usage.has_value(), part->usage.has_value());
  const protocol::Usage expected = event.usage.value_or(protocol::Usage());
  const protocol::Usage got = part->usage.value_or(protocol::Usage());
  CPPUNIT_ASSERT_EQUAL(expected.prompt_tokens, got.prompt_tokens);
  CPPUNIT_ASSERT_EQUAL(expected.cached_tokens, got.cached_tokens);
  CPPUNIT_ASSERT_EQUAL(expected.output_tokens, got.output_tokens);
}

const testing::Story kStory("an event of an engine's stream",
                            {ForEach<Event>(
                                "is read, with or without a tree, when it is",
                                kEvents,
                                [](const Event& event) { return event.name; },
                                IsReadAsItsFormSays)});

}  // namespace
}  // namespace acacialug::engine
