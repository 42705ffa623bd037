#include "configuration/text_deltas.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/global/random_source.h"
#include "framework/testing/story.h"

namespace acacialug::configuration {
namespace {

using testing::ForEach;
using testing::It;

struct Change {
  std::string name;
  std::string base;
  std::string target;
};

struct BadDelta {
  std::string name;
  TextDelta delta;
};

constexpr const char* kBase = "a\nb\nc\n";

// As a manifest is: tables whose headings are alike.
std::string Tables(RandomSource& random, int count) {
  std::string text = "version = \"1\"\n";
  for (int i = 0; i < count; ++i) {
    text += "\n[[endpoint]]\nid = \"runner-" +
            std::to_string(random.Below(40)) + "\"\nslots = 4\n";
  }
  return text;
}

const testing::Story kDeltas(
    "a delta between texts",
    {ForEach<Change>(
         "gives back the text exactly when",
         {{"nothing changed", kBase, kBase},
          {"there was none", "", kBase},
          {"all is gone", kBase, ""},
          {"a line is new", kBase, "a\nb\nx\nc\n"},
          {"a line is gone", kBase, "a\nc\n"},
          {"lines moved", kBase, "c\na\nb\n"},
          {"lines came twice", kBase, "a\nb\nc\na\nb\nc\n"},
          {"the base has a line twice", "a\na\nb\n", "b\na\na\n"},
          {"the last line has no end", kBase, "a\nb\nc"},
          {"the base's last line has no end", "a\nb\nc", "c\na\nb\nc\n"},
          {"ends of lines are others", kBase, "a\r\nb\r\nc\r\n"},
          {"there are bytes that are no text", kBase,
           std::string("a\n\0\xff", 4)}},
         [](const Change& change) { return change.name; },
         [](const Change& change) {
           const TextDelta delta = MakeDelta(change.base, change.target);
           CPPUNIT_ASSERT_EQUAL(change.target,
                                ApplyDelta(change.base, delta).value());
         }),
     It("gives back any of many texts from any other",
        [] {
          RandomSource random(3);
          std::string base;
          for (int round = 0; round < 200; ++round) {
            std::string target =
                Tables(random, static_cast<int>(random.Below(60)));
            CPPUNIT_ASSERT_EQUAL(
                target, ApplyDelta(base, MakeDelta(base, target)).value());
            base = std::move(target);
          }
        }),
     It("is as small as what changed",
        [] {
          std::string base;
          for (int i = 0; i < 1000; ++i) {
            base += "\n[[endpoint]]\nid = \"runner-" + std::to_string(i) +
                    "\"\nslots = 4\n";
          }
          std::string target = base;
          target.replace(target.find("runner-500\"\nslots = 4"), 21,
                         "runner-500\"\nslots = 5");
          const TextDelta delta = MakeDelta(base, target);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, delta.steps.size());
          CPPUNIT_ASSERT(std::get<std::string>(delta.steps[1]) ==
                         "slots = 5\n");
        }),
     // Symptom: a process ran a text that nobody had published, or died for
     // want of memory. Sequence: a record's delta was damaged or made by hand.
     // Cause: its steps were followed without looking at what came of them.
     ForEach<BadDelta>(
         "is refused when",
         {{"it was made from another text",
           MakeDelta("a\nb\nd\n", "a\nb\nd\ne\n")},
          {"it names lines that are not there",
           {.steps = {CopyLines{.first = 1, .count = 3}}}},
          {"it begins after the end",
           {.steps = {CopyLines{.first = 3, .count = 1}}}},
          {"it copies nothing", {.steps = {CopyLines{.first = 0, .count = 0}}}},
          {"its lines overflow a number",
           {.steps = {CopyLines{.first = 2, .count = ~std::uint64_t{0}}}}},
          {"its digest is another text's",
           {.steps = {CopyLines{.first = 0, .count = 3}},
            .digest = DigestOf("a\nb\nC\n")}}},
         [](const BadDelta& bad) { return bad.name; },
         [](const BadDelta& bad) {
           CPPUNIT_ASSERT(!ApplyDelta(kBase, bad.delta).ok());
         }),
     It("is refused before its text grows beyond the bound", [] {
       const std::string base(kLongestDeltaText / 2, 'x');
       TextDelta delta{.steps = std::vector<DeltaStep>(
                           1000, CopyLines{.first = 0, .count = 1})};
       CPPUNIT_ASSERT(!ApplyDelta(base, delta).ok());
     })});

}  // namespace
}  // namespace acacialug::configuration
