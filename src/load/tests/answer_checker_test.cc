#include "load/answer_checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "load/execution_check.h"
#include "load/internal/stream_reader.h"
#include "standin/reference_answer.h"

namespace acacialug::load {
namespace {

using testing::ForEach;
using testing::It;

constexpr char kPrompt[] = "check this title sheet [answer-tokens=6]";

std::vector<std::string> Tokens(const std::string& prompt = kPrompt) {
  standin::TokenGenerator generator(prompt);
  std::vector<std::string> tokens;
  tokens.reserve(6);
  for (int made = 0; made < 6; ++made) {
    tokens.push_back(generator.Next());
  }
  return tokens;
}

AnswerChecker MakeChecker() {
  const auto answer = standin::MakeReferenceAnswer(kPrompt, 100);
  return AnswerChecker({.request = "g1",
                        .expected = answer.text,
                        .finish = answer.plan.reason,
                        .prompt_tokens = answer.plan.prompt_tokens});
}

protocol::Usage GoodUsage() {
  return {.prompt_tokens = standin::PromptTokens(kPrompt), .output_tokens = 6};
}

void EndWell(AnswerChecker& checker) {
  checker.OnFinish("stop");
  checker.OnUsage(GoodUsage());
  checker.OnEnd();
}

struct Fault {
  std::string name;
  ViolationKind kind;
  // Indices into the right answer; a number of 100 or more is a token of
  // another prompt's answer.
  std::vector<int> order;
};

std::string TextOf(const Fault& fault) {
  const std::vector<std::string> own = Tokens();
  const std::vector<std::string> foreign = Tokens("another's prompt");
  std::string text;
  for (const int index : fault.order) {
    text += index >= 100 ? foreign[index - 100] : own[index];
  }
  return text;
}

struct EndFault {
  std::string name;
  ViolationKind kind;
  std::function<void(AnswerChecker&)> end;
};

const testing::Story kAnswers(
    "the answer checker",
    {It("finds nothing in a right answer, however it is split",
        [] {
          std::string text;
          for (const std::string& token : Tokens()) {
            text += token;
          }
          for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            AnswerChecker checker = MakeChecker();
            for (std::size_t at = 0; at < text.size(); at += piece) {
              checker.OnText(std::string_view(text).substr(at, piece));
            }
            EndWell(checker);
            CPPUNIT_ASSERT(checker.whole());
          }
        }),
     It("takes an honest error after a right beginning for no violation",
        [] {
          AnswerChecker checker = MakeChecker();
          checker.OnText(Tokens()[0]);
          checker.OnError();
          CPPUNIT_ASSERT(checker.violations().empty());
          CPPUNIT_ASSERT(!checker.whole());
        }),
     // Guards against a wrong text with a right ending: a stream that continues
     // at another attempt, or is mixed with another one, loses, repeats or
     // reorders a chunk, or takes one of the other.
     ForEach<Fault>(
         "finds in the text",
         {{"a lost token", ViolationKind::kTokenLost, {0, 1, 3, 4, 5}},
          {"a lost first token", ViolationKind::kTokenLost, {1, 2, 3, 4, 5}},
          {"two lost tokens", ViolationKind::kTokenLost, {0, 3, 4, 5}},
          {"a lost token before the last",
           ViolationKind::kTokenLost,
           {0, 1, 2, 3, 5}},
          {"a doubled token", ViolationKind::kTokenDoubled, {0, 1, 1, 2, 3}},
          {"a doubled run of tokens",
           ViolationKind::kTokenDoubled,
           {0, 1, 2, 3, 1, 2, 3, 4, 5}},
          {"two tokens in the wrong order",
           ViolationKind::kTokenReordered,
           {0, 2, 1, 3, 4, 5}},
          {"another's answer", ViolationKind::kForeignAnswer, {100, 101, 102}},
          {"another's token in between",
           ViolationKind::kForeignAnswer,
           {0, 1, 100, 2}},
          {"a missing rest", ViolationKind::kAnswerShort, {0, 1, 2, 3}},
          {"tokens beyond the end",
           ViolationKind::kAnswerLong,
           {0, 1, 2, 3, 4, 5, 103}}},
         [](const Fault& fault) { return fault.name; },
         [](const Fault& fault) {
           AnswerChecker checker = MakeChecker();
           checker.OnText(TextOf(fault));
           EndWell(checker);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
           CPPUNIT_ASSERT(fault.kind == checker.violations()[0].kind);
           CPPUNIT_ASSERT(!checker.whole());
         }),
     ForEach<EndFault>(
         "finds at the end",
         {{"a second end", ViolationKind::kTwoAnswers,
           [](AnswerChecker& checker) { checker.OnEnd(); }},
          {"text after the end", ViolationKind::kTwoAnswers,
           [](AnswerChecker& checker) { checker.OnText(Tokens()[0]); }},
          {"an error after the end", ViolationKind::kTwoAnswers,
           [](AnswerChecker& checker) { checker.OnError(); }},
          {"a second finish reason", ViolationKind::kTwoAnswers,
           [](AnswerChecker& checker) { checker.OnFinish("stop"); }},
          {"another usage", ViolationKind::kWrongEnd,
           [](AnswerChecker& checker) {
             checker.OnUsage({.prompt_tokens = 1, .output_tokens = 6});
           }},
          {"another form", ViolationKind::kMalformed,
           [](AnswerChecker& checker) { checker.OnMalformed("line"); }}},
         [](const EndFault& fault) { return fault.name; },
         [](const EndFault& fault) {
           AnswerChecker checker = MakeChecker();
           checker.OnText(standin::MakeReferenceAnswer(kPrompt, 100).text);
           EndWell(checker);
           fault.end(checker);
           CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
           CPPUNIT_ASSERT(fault.kind == checker.violations()[0].kind);
         }),
     It("finds a wrong finish reason", [] {
       AnswerChecker checker = MakeChecker();
       checker.OnText(standin::MakeReferenceAnswer(kPrompt, 100).text);
       checker.OnFinish("length");
       checker.OnEnd();
       CPPUNIT_ASSERT(checker.violations().at(0).kind ==
                      ViolationKind::kWrongEnd);
     })});

struct CallCase {
  std::string name;
  CallRecord call;
  std::uint64_t ran;
  std::optional<ViolationKind> kind;
};

const testing::Story kCalls(
    "the check of plain calls against what ran",
    {ForEach<CallCase>(
        "judges",
        {{"one answered run", {.any_completed = true}, 1, std::nullopt},
         {"a repeated idempotent run",
          {.any_completed = true},
          2,
          std::nullopt},
         {"a refusal that did not run",
          {.refused_not_run = 1},
          0,
          std::nullopt},
         {"an unknown that ran", {.idempotent = false}, 1, std::nullopt},
         {"a refusal that ran",
          {.refused_not_run = 1},
          1,
          ViolationKind::kNotRunDidRun},
         {"a refusal beside a submission that ran",
          {.idempotent = false, .submissions = 2, .refused_not_run = 1},
          1,
          std::nullopt},
         {"a key that ran twice",
          {.idempotent = false, .any_completed = true},
          2,
          ViolationKind::kRanTwice},
         {"an answer without a run",
          {.any_completed = true},
          0,
          ViolationKind::kNeverRan}},
        [](const CallCase& row) { return row.name; },
        [](const CallCase& row) {
          CallRecord call = row.call;
          call.request = "c1";
          const auto found = CheckExecutions({call}, {{"c1", row.ran}});
          CPPUNIT_ASSERT_EQUAL(row.kind.has_value(), found.size() == 1);
          CPPUNIT_ASSERT(!row.kind || found[0].kind == *row.kind);
        })});

std::string ReadAll(const std::string& stream, std::size_t piece) {
  std::string log;
  StreamReader reader(
      {.on_text = [&log](std::string_view text) { log += text; },
       .on_finish = [&log](std::string_view reason) { log += reason; },
       .on_usage =
           [&log](const protocol::Usage& usage) {
             log += std::to_string(usage.prompt_tokens) + "/" +
                    std::to_string(usage.cached_tokens) + "/" +
                    std::to_string(usage.output_tokens);
           },
       .on_end = [&log] { log += "|end"; },
       .on_error =
           [&log](const AnswerError& error) {
             log += "|" + error.code + " " +
                    std::string(NameOf(kRequestOutcomeNames, error.outcome));
           },
       .on_malformed = [&log](const std::string&) { log += "|malformed"; }});
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    reader.OnData(std::string_view(stream).substr(at, piece));
  }
  return log;
}

struct StreamCase {
  std::string name;
  std::string stream;
  std::string log;
};

const testing::Story kStreams(
    "the stream reader",
    {ForEach<StreamCase>(
        "reads, however it is split,",
        {{"completions",
          "data: {\"choices\":[{\"text\":\"ab\",\"finish_reason\":null}]}\n\n"
          "data: {\"choices\":[{\"text\":\"c\",\"finish_reason\":\"stop\"}]}"
          "\r\n\r\ndata: [DONE]\n\n",
          "abcstop|end"},
         {"chat, with comments and usage",
          ": wait\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
          "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
          "\"completion_tokens\":1,\"prompt_tokens_details\":"
          "{\"cached_tokens\":4}}}\n\n",
          "x7/4/1"},
         {"an error in the stream",
          "data: {\"error\":{\"code\":3003,\"outcome\":\"unknown\"}}\n\n",
          "|3003 unknown"},
         {"what is none of it", "data: {\ndata: 3\nbad\n",
          "|malformed|malformed|malformed"}},
        [](const StreamCase& row) { return row.name; },
        [](const StreamCase& row) {
          for (const std::size_t piece : {1, 3, 7, 4096}) {
            CPPUNIT_ASSERT_EQUAL(row.log, ReadAll(row.stream, piece));
          }
        })});

}  // namespace
}  // namespace acacialug::load
