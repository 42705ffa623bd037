#include "entry_process/internal/digest_appender.h"

#include <memory>
#include <string>
#include <vector>

#include "entry_process/internal/entry_measures.h"
#include "entry_process/tests/process_fixture.h"
#include "framework/testing/story.h"
#include "service_levels/digest_codec.h"
#include "service_levels/level_fold.h"

namespace acacialug::entry_process {
namespace {

using service_levels::Cause;
using service_levels::LevelFold;
using service_levels::LevelSummary;
using service_levels::WallTime;
using testing::It;

// The requested appends of a log, and its answer.
struct LogScript {
  std::vector<std::string> records;
  std::optional<Result<LogOffset>> answer = LogOffset(1);  // none: never
};

class ScriptedLog : public cluster::ILog {
 public:
  explicit ScriptedLog(std::shared_ptr<LogScript> log_script)
      : script(std::move(log_script)) {}

  void Append(const std::string& stream,
              std::string payload,
              std::function<void(Result<LogOffset>)> on_done) override {
    CPPUNIT_ASSERT(stream == service_levels::kDigestStream);
    this->script->records.push_back(std::move(payload));
    if (this->script->answer) {
      QTimer::singleShot(
          0, &this->context,
          [on_done, answer = *this->script->answer] { on_done(answer); });
    }
  }
  void ReadFrom(const std::string&,
                LogOffset,
                std::size_t,
                Duration,
                std::function<void(Result<Read>)>) override {}

 private:
  std::shared_ptr<LogScript> script;
  QObject context;
};

LevelSummary Fold(const std::vector<std::string>& records) {
  LevelFold fold;
  for (const std::string& record : records) {
    fold.AddRecord(record);
  }
  return fold.Finish(std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now()));
}

std::uint64_t Requests(const LevelSummary& summary,
                       const std::string& service,
                       const std::string& latency_class) {
  const auto found =
      summary.series.find({.service = service, .latency_class = latency_class});
  return found == summary.series.end()
             ? 0
             : found->second.windows[service_levels::kBudgetWindow].total;
}

struct Keeper {
  Instant now = Instant(1000s);
  ServiceLevelRecorder recorder{{.entry = EntryId("entry-1"),
                                 .has_log = true,
                                 .clock = [this] { return this->now; }}};
  std::shared_ptr<LogScript> script = std::make_shared<LogScript>();

  DigestAppender MakeAppender() {
    return DigestAppender({.recorder = this->recorder,
                           .log = std::make_unique<ScriptedLog>(this->script),
                           .finish_timeout = 1ms});
  }
  void CountOne() {
    this->recorder.CountRequest("lm", "desk", {.total = 1, .good = 1});
  }
};

struct EndRow {
  std::string name;
  std::optional<Result<LogOffset>> answer;
};

const testing::Story kAppender(
    "an entry's digests",
    {It("go to the log when they are due",
        [] {
          Keeper keeper;
          keeper.CountOne();
          keeper.now += 10min;
          const DigestAppender appender = keeper.MakeAppender();
          testing::WaitUntil("an append",
                             [&] { return !keeper.script->records.empty(); });
          CPPUNIT_ASSERT(Requests(Fold(keeper.script->records), "lm", "desk") ==
                         1);
        }),
     // Guards against the loss of a host's last minutes, or of its whole drain,
     // when the host is replaced: SIGTERM, the last answer and the end follow
     // while the log is unreachable. It happens if no digest is made of the
     // open window, or if the wait for the log's answer is unbounded.
     testing::ForEach<EndRow>(
         "are appended at the end, which is not held back by a log that",
         {{"answers", LogOffset(1)},
          {"is out", Error(ResultCode::kPlatformUnavailable)},
          {"loses its answers", Error(ResultCode::kAppendUnresolved)},
          {"never answers", std::nullopt}},
         [](const EndRow& row) { return row.name; },
         [](const EndRow& row) {
           Keeper keeper;
           keeper.script->answer = row.answer;
           DigestAppender appender = keeper.MakeAppender();
           keeper.CountOne();
           bool finished = false;
           appender.Finish([&] { finished = true; });
           CPPUNIT_ASSERT(!finished);
           testing::WaitUntil("the end", [&] { return finished; });
           CPPUNIT_ASSERT(keeper.script->records.size() == 1);
         }),
     It("do not delay the end when there is nothing to append",
        [] {
          Keeper keeper;
          DigestAppender appender = keeper.MakeAppender();
          bool finished = false;
          appender.Finish([&] { finished = true; });
          testing::WaitUntil("the end", [&] { return finished; });
          CPPUNIT_ASSERT(keeper.script->records.empty());
        }),
     It("hold what the measures counted: requests, causes, wasted prefill",
        [] {
          Keeper keeper;
          metrics::Registry registry;
          EntryMeasures measures(registry, &keeper.recorder);
          RequestTrace late{.service = "lm",
                            .latency_class = "desk",
                            .first_token_target = 1s,
                            .token_interval_target = 1s};
          late.OnPrefilled(100);
          late.OnPrefilled(40);
          measures.OnGenerationCompleted(late, 1, late.arrived + 2s);
          measures.OnError(late, ResultCode::kOverloaded,
                           protocol::Outcome::kNotRun);
          // Caused by the caller itself, so no service missed a target.
          measures.OnError(late, ResultCode::kCallerOverLimit,
                           protocol::Outcome::kNotRun);
          measures.OnError(late, ResultCode::kKeyRequired,
                           protocol::Outcome::kNotRun);
          measures.OnCallerGone(late);
          measures.OnLatePrefill("lm", 5);
          const auto append = keeper.recorder.FinishDigests(WallTime());
          const auto& series = append->digest.windows.at(0).series;
          const auto& requests =
              series.at({.service = "lm", .latency_class = "desk"});
          CPPUNIT_ASSERT(requests.total == 2 && requests.good == 0);
          CPPUNIT_ASSERT(requests.CountOf(Cause::kLateFirstToken) == 1);
          const auto& prefill = series.at(
              {.kind = service_levels::SeriesKind::kPrefill, .service = "lm"});
          CPPUNIT_ASSERT(prefill.total == 140 * 5 + 5);
          CPPUNIT_ASSERT(prefill.good == 40);
          CPPUNIT_ASSERT(prefill.CountOf(Cause::kRepeated) == 100);
        }),
     It("follow the windows of the operations port, and end with the drain",
        [] {
          auto script = std::make_shared<LogScript>();
          Fixture fixture({}, [&](EntryProcessOptions& options) {
            options.make_log = [script] {
              return std::make_unique<ScriptedLog>(script);
            };
          });
          fixture.SendAndWait("POST", "/v1/chat/completions", kChat);
          const auto answer = fixture.Send(
              {.method = "GET", .target = service_levels::kLevelPagePath},
              fixture.process->operations_port());
          testing::WaitUntil("a page", [&] { return answer->Done(); });
          const auto page = service_levels::DecodeLevelPage(answer->body);
          CPPUNIT_ASSERT(page.ok());
          CPPUNIT_ASSERT(page->entry.text == "entry-1");
          CPPUNIT_ASSERT(page->objectives.size() == 2);
          LevelFold fold;
          fold.AddLive(*page);
          CPPUNIT_ASSERT(
              Requests(fold.Finish(WallTime()), "lm", "interactive") == 1);
          fixture.process->Drain();
          testing::WaitUntil("the drain",
                             [&] { return fixture.drained_whole.has_value(); });
          CPPUNIT_ASSERT(Requests(Fold(script->records), "lm", "interactive") ==
                         1);
        })});

}  // namespace
}  // namespace acacialug::entry_process
