#include "standin/reference_answer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"

namespace acacialug::standin {
namespace {

using protocol::FinishReason;
using protocol::GenerationApi;
using testing::ForEach;
using testing::It;

struct BodyRow {
  GenerationApi api;
  std::string body;
  std::string text;  // empty: refused
};

struct PlanRow {
  std::string name;
  std::string prompt;
  std::uint32_t resumed;
  std::uint32_t max_tokens;
  std::uint32_t output;
  FinishReason reason;
};

const testing::Story kReference(
    "the reference answer",
    {ForEach<BodyRow>(
         "sees of a body",
         {{GenerationApi::kCompletions, R"({"prompt":"abc"})", "abc"},
          {GenerationApi::kCompletions, R"({"prompt":[1]})", ""},
          {GenerationApi::kCompletions, "{", ""},
          {GenerationApi::kChat,
           R"({"messages":[{"role":"user","content":"hi"}]})",
           "user: hi\nassistant: "},
          {GenerationApi::kChat,
           R"({"messages":[{"role":"user","content":[{"text":"a"},)"
           R"({"text":"b"}]},{"role":"assistant","content":" wx"}],)"
           R"("continue_final_message":true})",
           "user: ab\nassistant:  wx"},
          {GenerationApi::kChat, R"({"messages":[]})", ""},
          {GenerationApi::kChat, R"({"messages":[{"content":"x"}]})", ""}},
         [](const BodyRow& row) { return row.body; },
         [](const BodyRow& row) {
           const Result<std::string> text = PromptText(row.api, row.body);
           CPPUNIT_ASSERT_EQUAL(!row.text.empty(), text.ok());
           if (text.ok()) {
             CPPUNIT_ASSERT_EQUAL(row.text, *text);
           }
         }),
     ForEach<PlanRow>(
         "ends",
         {{"at the most tokens", "p", 0, 5, 5, FinishReason::kLength},
          {"at the asked ones", "p [answer-tokens=3]", 0, 5, 3,
           FinishReason::kStop},
          {"at the most if more are asked", "p [answer-tokens=5]", 0, 5, 5,
           FinishReason::kLength},
          {"at the asked ones, resumed ones counted", "p [answer-tokens=3]", 2,
           5, 1, FinishReason::kStop},
          {"at once if all asked ones are resumed", "p [answer-tokens=3]", 3, 5,
           0, FinishReason::kStop},
          {"at the most with a mark that is none", "p [answer-tokens=3", 0, 5,
           5, FinishReason::kLength}},
         [](const PlanRow& row) { return row.name; },
         [](const PlanRow& row) {
           const std::string text =
               row.prompt + MakeReferenceAnswer(row.prompt, row.resumed).text;
           const AnswerPlan plan = PlanAnswer(text, row.max_tokens);
           CPPUNIT_ASSERT_EQUAL(row.resumed, plan.resumed_tokens);
           CPPUNIT_ASSERT_EQUAL(row.output, plan.output_tokens);
           CPPUNIT_ASSERT(row.reason == plan.reason);
         }),
     It("goes on as if it had not been cut",
        [] {
          const std::string whole = MakeReferenceAnswer("prompt", 9).text;
          CPPUNIT_ASSERT_EQUAL(9 * kTokenBytes, whole.size());
          const std::string cut = whole.substr(0, 4 * kTokenBytes);
          CPPUNIT_ASSERT_EQUAL(
              whole, cut + MakeReferenceAnswer("prompt" + cut, 5).text);
        }),
     It("does not take a caller's own words for resumed tokens",
        [] {
          CPPUNIT_ASSERT_EQUAL(0U, ResumedTokens("see w1234 w5678"));
          const std::string prompt = "see w1234 w5678";
          CPPUNIT_ASSERT_EQUAL(
              2U, ResumedTokens(prompt + MakeReferenceAnswer(prompt, 2).text));
        }),
     It("hashes prefixes so that equal ones alone are equal", [] {
       const std::string block(8, 'a');  // two tokens
       const auto chain = PrefixHashes(block + block + "bbb", 2);
       const auto other = PrefixHashes(block + "bbbbbbbb", 2);
       CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chain.size());
       CPPUNIT_ASSERT_EQUAL(chain[0], other[0]);
       CPPUNIT_ASSERT(chain[1] != other[1]);
       CPPUNIT_ASSERT(chain[1] != chain[0]);
     })});

}  // namespace
}  // namespace acacialug::standin
