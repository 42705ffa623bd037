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

// Like a manifest: tables with equal headings.
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
         "reproduces the text exactly when",
         {{"nothing changed", kBase, kBase},
          {"the base is empty", "", kBase},
          {"the target is empty", kBase, ""},
          {"a line is added", kBase, "a\nb\nx\nc\n"},
          {"a line is removed", kBase, "a\nc\n"},
          {"lines are reordered", kBase, "c\na\nb\n"},
          {"lines are repeated", kBase, "a\nb\nc\na\nb\nc\n"},
          {"the base has a line twice", "a\na\nb\n", "b\na\na\n"},
          {"the last line has no line end", kBase, "a\nb\nc"},
          {"the base's last line has no line end", "a\nb\nc", "c\na\nb\nc\n"},
          {"line ends differ", kBase, "a\r\nb\r\nc\r\n"},
          {"the target has bytes that are not text", kBase,
           std::string("a\n\0\xff", 4)}},
         [](const Change& change) { return change.name; },
         [](const Change& change) {
           const TextDelta delta = MakeDelta(change.base, change.target);
           CPPUNIT_ASSERT_EQUAL(change.target,
                                ApplyDelta(change.base, delta).value());
         }),
     It("reproduces each of many random texts from another",
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
     It("is as small as the change",
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
     // Guards against a process that uses a text which was never published, or
     // runs out of memory: a delta that was damaged or made by hand is applied
     // without checks of the result.
     ForEach<BadDelta>(
         "is rejected when",
         {{"it was made from another text",
           MakeDelta("a\nb\nd\n", "a\nb\nd\ne\n")},
          {"it names lines that the base does not have",
           {.steps = {CopyLines{.first = 1, .count = 3}}}},
          {"it begins after the end",
           {.steps = {CopyLines{.first = 3, .count = 1}}}},
          {"it copies nothing", {.steps = {CopyLines{.first = 0, .count = 0}}}},
          {"its line range overflows an integer",
           {.steps = {CopyLines{.first = 2, .count = ~std::uint64_t{0}}}}},
          {"its digest is another text's",
           {.steps = {CopyLines{.first = 0, .count = 3}},
            .digest = DigestOf("a\nb\nC\n")}}},
         [](const BadDelta& bad) { return bad.name; },
         [](const BadDelta& bad) {
           CPPUNIT_ASSERT(!ApplyDelta(kBase, bad.delta).ok());
         }),
     It("is rejected before its text exceeds the bound", [] {
       const std::string base(kLongestDeltaText / 2, 'x');
       TextDelta delta{.steps = std::vector<DeltaStep>(
                           1000, CopyLines{.first = 0, .count = 1})};
       CPPUNIT_ASSERT(!ApplyDelta(base, delta).ok());
     })});

}  // namespace
}  // namespace acacialug::configuration
