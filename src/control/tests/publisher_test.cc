#include "control/publisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "control/manifest_diff.h"
#include "framework/testing/story.h"
#include "manifest/manifest_parser.h"

namespace acacialug::control {
namespace {

using testing::ForEach;
using testing::It;

std::string ManifestText(const std::string& version,
                         std::uint64_t replaces,
                         const std::string& target = "1s") {
  return "version = \"" + version +
         "\"\nreplaces = " + std::to_string(replaces) +
         "\ndomains = [\"hall-a\"]\n[[service]]\nname = \"desk\"\n"
         "kind = \"plain\"\n[[service.class]]\nname = \"c\"\n"
         "first_token = \"" +
         target + "\"\n";
}

enum class AppendFault { kNone, kRefused, kLostBefore, kLostAfter };

// A log in memory; each append gets the next fault of the list.
class ListLog : public cluster::ILog {
 public:
  std::vector<std::string> records;
  std::deque<AppendFault> faults;
  std::function<void()> before_append;
  std::size_t appends = 0;

  void Append(const std::string&,
              std::string payload,
              std::function<void(Result<LogOffset>)> on_done) override {
    ++this->appends;
    if (this->before_append) {
      std::exchange(this->before_append, {})();
    }
    const AppendFault fault =
        this->faults.empty() ? AppendFault::kNone : this->faults.front();
    if (!this->faults.empty()) {
      this->faults.pop_front();
    }
    if (fault == AppendFault::kNone || fault == AppendFault::kLostAfter) {
      this->records.push_back(std::move(payload));
    }
    if (fault == AppendFault::kNone) {
      on_done(LogOffset(this->records.size()));
    } else {
      on_done(Error(fault == AppendFault::kRefused
                        ? ResultCode::kPlatformUnavailable
                        : ResultCode::kAppendUnresolved));
    }
  }

  void ReadFrom(const std::string&,
                LogOffset from,
                std::size_t,
                Duration,
                std::function<void(Result<Read>)> on_done) override {
    Read read{.first_kept = LogOffset(1),
              .next = LogOffset(this->records.size() + 1)};
    for (std::uint64_t at = from.value; at <= this->records.size(); ++at) {
      read.records.push_back({LogOffset(at), this->records[at - 1]});
    }
    on_done(read);
  }
};

struct Bench {
  ListLog log;
  RandomSource random{5};
  bool as_delta = false;
  Publisher publisher{{.stream = "configuration",
                       .publisher = "pipeline",
                       .as_delta = this->as_delta,
                       .wait = [](const std::function<bool()>& done,
                                  Duration) { return done(); }},
                      this->log,
                      this->random};

  ResultCode Publish(const std::string& text) {
    const auto judgement = this->publisher.Publish(text, "m.toml");
    return judgement.ok() ? ResultCode::kOk : judgement.error().result_code();
  }

  std::string CurrentVersion() {
    const auto history = this->publisher.ReadHistory();
    return history.ok() && history->current() != nullptr
               ? history->current()->manifest->version
               : std::string();
  }
};

struct FaultRow {
  std::string name;
  std::deque<AppendFault> faults;
  ResultCode code;
  std::string current;
};

const testing::Story kPublisher(
    "publishing a manifest",
    {ForEach<FaultRow>(
         "comes to one outcome when",
         {{"the log answers", {}, ResultCode::kOk, "b"},
          {"the log refuses",
           {AppendFault::kRefused},
           ResultCode::kPlatformUnavailable,
           "a"},
          // Guards against a pipeline that publishes twice or reports a false
          // failure: the append takes effect, its answer is lost, and the
          // lost answer is treated as the outcome.
          {"the answer is lost after the effect",
           {AppendFault::kLostAfter},
           ResultCode::kOk,
           "b"},
          {"the request is lost before the effect",
           {AppendFault::kLostBefore},
           ResultCode::kOk,
           "b"},
          {"answers are lost again and again",
           {AppendFault::kLostBefore, AppendFault::kLostAfter},
           ResultCode::kOk,
           "b"}},
         [](const FaultRow& row) { return row.name; },
         [](const FaultRow& row) {
           for (const bool as_delta : {false, true}) {
             Bench bench{.as_delta = as_delta};
             CPPUNIT_ASSERT(ResultCode::kOk ==
                            bench.Publish(ManifestText("a", 0)));
             bench.log.faults = row.faults;
             CPPUNIT_ASSERT(row.code == bench.Publish(ManifestText("b", 1)));
             CPPUNIT_ASSERT_EQUAL(row.current, bench.CurrentVersion());
           }
         }),
     It("sends only the differences as a delta, and the first text in full",
        [] {
          Bench bench{.as_delta = true};
          std::string kind;
          for (const char* const version : {"a", "b"}) {
            const std::uint64_t replaces = bench.log.records.size();
            bench.Publish(ManifestText(version, replaces));
            const auto record =
                configuration::DecodeRecord(bench.log.records.back());
            kind += NameOf(configuration::kRecordKindNames, record->kind);
            kind += ' ';
          }
          CPPUNIT_ASSERT_EQUAL(std::string("publish publish_delta "), kind);
          CPPUNIT_ASSERT_EQUAL(std::string("b"), bench.CurrentVersion());
        }),
     It("appends nothing when the text is invalid or replaces another manifest",
        [] {
          Bench bench;
          CPPUNIT_ASSERT(ResultCode::kSettingsMissingKey ==
                         bench.Publish("version = \"x\"\n"));
          CPPUNIT_ASSERT(ResultCode::kManifestConflict ==
                         bench.Publish(ManifestText("b", 7)));
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.log.appends);
        }),
     // Guards against two pipelines that both report success while one change
     // is lost: both read the same current manifest, both append, and success
     // is taken from the append instead of the order of the log.
     It("has one winner when two race, and shows the other the winner", [] {
       Bench bench;
       CPPUNIT_ASSERT(ResultCode::kOk == bench.Publish(ManifestText("a", 0)));
       bench.log.before_append = [&bench] {
         CPPUNIT_ASSERT(ResultCode::kOk ==
                        bench.Publish(ManifestText("rival", 1)));
       };
       const auto lost = bench.publisher.Publish(ManifestText("b", 1), "m");
       CPPUNIT_ASSERT(!lost.ok());
       CPPUNIT_ASSERT(ResultCode::kManifestConflict ==
                      lost.error().result_code());
       CPPUNIT_ASSERT(lost.error().detail.find("rival") != std::string::npos);
       CPPUNIT_ASSERT_EQUAL(std::string("rival"), bench.CurrentVersion());
     })});

const testing::Story kDiff(
    "the difference of two manifests",
    {It("names each item that was added, removed or changed", [] {
      const auto before =
          manifest::ParseManifest(ManifestText("a", 0), "a").value();
      auto after =
          manifest::ParseManifest(ManifestText("b", 1, "2s"), "b").value();
      after.domains.emplace_back("hall-b");
      after.callers.push_back({.caller = CallerName("printer")});
      CPPUNIT_ASSERT(
          (std::vector<Change>{{ChangeKind::kAdded, "domain", "hall-b"},
                               {ChangeKind::kChanged, "service", "desk"},
                               {ChangeKind::kAdded, "caller", "printer"}}) ==
          DiffManifests(before, after));
      CPPUNIT_ASSERT(DiffManifests(before, before).empty());
    })});

}  // namespace
}  // namespace acacialug::control
