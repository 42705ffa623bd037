#include "configuration/configuration_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include "configuration/tests/manifest_texts.h"
#include "framework/testing/story.h"

namespace acacialug::configuration {
namespace {

using testing::ForEach;
using testing::It;
using testing::Section;
using testing_texts::Checkpoint;
using testing_texts::ManifestText;
using testing_texts::Publish;
using testing_texts::PublishDelta;

std::uint64_t CurrentOffset(const ConfigurationHistory& history) {
  return history.current() == nullptr
             ? 0
             : history.current()->manifest->offset.value;
}

// A stream with two races, a bad record and a checkpoint overtaken by a
// publish: 1 accepted, 2 conflict, 3 accepted, 4 invalid, 5 accepted, 6 a
// checkpoint of 3 whose author had read through 4, 7 a usable checkpoint.
std::vector<std::string> Stream() {
  return {Publish("a", 0, 1),      Publish("b", 0, 2), Publish("c", 1, 3),
          "not a record",          Publish("d", 3, 5), Checkpoint("c", 1, 3, 4),
          Checkpoint("d", 3, 5, 6)};
}

ConfigurationHistory ReadFrom(std::uint64_t first) {
  ConfigurationHistory history((LogOffset(first)));
  const std::vector<std::string> stream = Stream();
  for (std::uint64_t offset = first; offset <= stream.size(); ++offset) {
    history.Apply(LogOffset(offset), stream[offset - 1]);
  }
  return history;
}

struct VerdictRow {
  std::uint64_t offset;
  Verdict verdict;
  std::uint64_t current;
};

struct StartRow {
  std::uint64_t first;
  bool judged;
  std::uint64_t current;
  std::string why;
};

struct FalseCheckpoint {
  std::string name;
  std::uint64_t accepted_at;
  std::uint64_t read_through;
};

struct DeltaRow {
  std::string name;
  std::string record;
  Verdict verdict;
  std::uint64_t current;
};

const testing::Story kHistory(
    "the configuration's history",
    {ForEach<VerdictRow>(
         "gives each record its verdict:",
         {{1, Verdict::kAccepted, 1},
          {2, Verdict::kConflict, 1},
          {3, Verdict::kAccepted, 3},
          {4, Verdict::kInvalid, 3},
          {5, Verdict::kAccepted, 5},
          {6, Verdict::kCheckpoint, 5},
          {7, Verdict::kCheckpoint, 5}},
         [](const VerdictRow& row) {
           return std::to_string(row.offset) + " " +
                  std::string(NameOf(kVerdictNames, row.verdict));
         },
         [](const VerdictRow& row) {
           const ConfigurationHistory history = ReadFrom(1);
           const Judgement& judgement = history.judgements()[row.offset - 1];
           CPPUNIT_ASSERT(row.verdict == judgement.verdict);
           CPPUNIT_ASSERT_EQUAL(row.current, judgement.current.value);
         }),
     // Guards against newly started hosts that run a configuration which no
     // other process has, and that accept no later one: the stream has lost its
     // beginning, and a record with a checkpoint of a future manifest is used
     // although it cannot be true.
     ForEach<FalseCheckpoint>(
         "does not start from a checkpoint that names",
         {{"records after it", 6, 100},
          {"a manifest after it", 100, 100},
          {"a manifest that its author had not read", 6, 5},
          {"no manifest", 0, 5}},
         [](const FalseCheckpoint& row) { return row.name; },
         [](const FalseCheckpoint& row) {
           ConfigurationHistory history(LogOffset(6));
           history.Apply(LogOffset(6),
                         Checkpoint("x", 1, row.accepted_at, row.read_through));
           CPPUNIT_ASSERT(!history.judged());
           history.Apply(LogOffset(7), Checkpoint("d", 3, 5, 6));
           CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, CurrentOffset(history));
         }),
     // Guards against a new host with an older configuration than its peers
     // after retention dropped the stream's start: a checkpoint of 3 follows
     // the publish that replaced 3, and a reader that starts later uses it as
     // current. A checkpoint describes the prefix that its author had read, not
     // the state at its own offset.
     ForEach<StartRow>(
         "read from a truncated stream agrees with all readers:",
         {{2, true, 5, "the checkpoint's author read through 4"},
          {5, true, 5, "all records after offset 4 are present"},
          {6, true, 5, "only the second checkpoint covers offset 5"},
          {7, true, 5, "the second checkpoint was made at 6"}},
         [](const StartRow& row) {
           return "from " + std::to_string(row.first) + ", " + row.why;
         },
         [](const StartRow& row) {
           const ConfigurationHistory history = ReadFrom(row.first);
           CPPUNIT_ASSERT_EQUAL(row.judged, history.judged());
           CPPUNIT_ASSERT_EQUAL(row.current, CurrentOffset(history));
         }),
     Section("with a gap",
             {It("judges nothing until a checkpoint covers it",
                 [] {
                   ConfigurationHistory history = ReadFrom(1);
                   history.OnTruncated(LogOffset(20));
                   // Offset 15 may have replaced 5: accepting this one here
                   // would make this reader differ from the others.
                   history.Apply(LogOffset(20), Publish("e", 5));
                   CPPUNIT_ASSERT(!history.judged());
                   CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                                        CurrentOffset(history));
                   history.Apply(LogOffset(21), Checkpoint("x", 5, 15, 18));
                   CPPUNIT_ASSERT(!history.judged());
                   history.Apply(LogOffset(22), Checkpoint("x", 5, 15, 21));
                   CPPUNIT_ASSERT(history.judged());
                   CPPUNIT_ASSERT_EQUAL(std::uint64_t{15},
                                        CurrentOffset(history));
                 }),
              It("never returns to an older manifest",
                 [] {
                   ConfigurationHistory history = ReadFrom(1);
                   history.OnTruncated(LogOffset(20));
                   history.Apply(LogOffset(20), Checkpoint("c", 1, 3, 19));
                   CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                                        CurrentOffset(history));
                 })}),
     // Guards against two processes with different texts for one offset: a
     // pipeline makes its delta from a text that was never current, or that
     // another publish has replaced, and each reader applies the delta to the
     // text that it has.
     ForEach<DeltaRow>(
         "judges a publish by delta like its text:",
         {{"made from the current text",
           PublishDelta(ManifestText("d", 3), "e", 5), Verdict::kAccepted, 8},
          {"made from a replaced text",
           PublishDelta(ManifestText("c", 1), "e", 3), Verdict::kConflict, 5},
          {"made from another text, but naming the current one",
           PublishDelta("# x\n" + ManifestText("d", 3), "e", 5),
           Verdict::kInvalid, 5},
          {"its text replaces another manifest than the record",
           EncodeRecord({.kind = RecordKind::kPublishDelta,
                         .replaces = LogOffset(5),
                         .delta = MakeDelta(ManifestText("d", 3),
                                            ManifestText("e", 3))}),
           Verdict::kConflict, 5},
          {"its text is not a manifest",
           EncodeRecord({.kind = RecordKind::kPublishDelta,
                         .replaces = LogOffset(5),
                         .delta = MakeDelta(ManifestText("d", 3), "x")}),
           Verdict::kInvalid, 5}},
         [](const DeltaRow& row) { return row.name; },
         [](const DeltaRow& row) {
           ConfigurationHistory history = ReadFrom(1);
           history.Apply(LogOffset(8), row.record);
           CPPUNIT_ASSERT(row.verdict == history.judgements().back().verdict);
           CPPUNIT_ASSERT_EQUAL(row.current, CurrentOffset(history));
         }),
     // Guards against a host that starts late and never learns the
     // configuration: retention drops the full texts while deltas remain, and a
     // delta is treated as a copy of its manifest.
     It("applies deltas to a checkpoint that they precede in the log",
        [] {
          ConfigurationHistory all = ReadFrom(1);
          ConfigurationHistory late(LogOffset(8));
          const std::string delta = PublishDelta(ManifestText("d", 3), "e", 5);
          const std::string copy = Checkpoint("d", 3, 5, 7);
          for (ConfigurationHistory* const history : {&all, &late}) {
            history->Apply(LogOffset(8), delta);
            CPPUNIT_ASSERT(history->newest_copy() < LogOffset(8));
            history->Apply(LogOffset(9), copy);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, CurrentOffset(*history));
            CPPUNIT_ASSERT_EQUAL(ManifestText("e", 5),
                                 history->current()->text);
          }
          CPPUNIT_ASSERT(all.newest_copy() == LogOffset(9));
        }),
     It("applies a record once when it is read repeatedly", [] {
       ConfigurationHistory history = ReadFrom(1);
       history.Apply(LogOffset(5), Publish("d", 3, 5));
       CPPUNIT_ASSERT_EQUAL(std::size_t{7}, history.judgements().size());
       CPPUNIT_ASSERT(history.FindPublication({.high = 1, .low = 2})->verdict ==
                      Verdict::kConflict);
     })});

}  // namespace
}  // namespace acacialug::configuration
