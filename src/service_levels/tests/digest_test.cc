#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "service_levels/digest_codec.h"
#include "service_levels/digest_writer.h"
#include "service_levels/level_fold.h"

namespace acacialug::service_levels {
namespace {

using testing::It;

const Instant kStart = Instant(9000s);
const WallTime kWall = WallTime(std::chrono::hours(24 * 365 * 50));
const SeriesKey kDesk = {.service = "lm", .latency_class = "desk"};

// The outcome of an append.
enum class AppendOutcome { kAccepted, kRefused, kAnswerLost, kNeverAnswered };

// Simulates one process and the log in virtual time. One request ends per
// minute.
struct Process {
  explicit Process(std::uint64_t seed = 1)
      : random(seed),
        writer({.entry = EntryId("e-1"),
                .incarnation = Incarnation(seed),
                .interval = 5min},
               this->random,
               kStart) {}

  void Run(Duration time, AppendOutcome outcome) {
    for (const Instant end = this->now + time; this->now < end;
         this->now += 1min) {
      this->writer.Count(kDesk, {.total = 1, .good = 1});
      ++this->requests;
      this->Handle(this->writer.OnTimer(this->now, this->Wall()), outcome);
    }
  }

  void Finish() {
    this->Handle(this->writer.Finish(this->now, this->Wall()),
                 AppendOutcome::kAccepted);
  }

  void Handle(const std::optional<DigestAppend>& append,
              AppendOutcome outcome) {
    if (!append) {
      return;
    }
    ++this->appends;
    if (outcome != AppendOutcome::kRefused) {
      this->log.push_back(EncodeDigest(append->digest));
    }
    if (outcome != AppendOutcome::kNeverAnswered) {
      this->writer.OnAppended(append->ticket,
                              outcome == AppendOutcome::kAccepted, this->now);
    }
  }

  WallTime Wall() const {
    return kWall + this->wall_error +
           std::chrono::duration_cast<std::chrono::milliseconds>(this->now -
                                                                 kStart);
  }

  LevelSummary Fold() const {
    LevelFold fold;
    for (const std::string& record : this->log) {
      fold.AddRecord(record);
    }
    return fold.Finish(kWall +
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->now - kStart));
  }

  RandomSource random;
  DigestWriter writer;
  Instant now = kStart;
  std::chrono::milliseconds wall_error{};
  std::vector<std::string> log;
  std::uint64_t requests = 0;
  std::uint64_t appends = 0;
};

std::uint64_t Total(const LevelSummary& summary) {
  const auto found = summary.series.find(kDesk);
  return found == summary.series.end()
             ? 0
             : found->second.windows[kBudgetWindow].total;
}

struct OutcomeRow {
  std::string name;
  AppendOutcome outcome;
  bool doubles;
};

struct LogRow {
  std::string name;
  std::function<void(Process& process)> damage;
  std::function<void(const LevelSummary& summary)> check;
};

struct IntervalRow {
  std::uint32_t entries;
  Duration interval;
};

const testing::Story kWriter(
    "digests of a process's service levels",
    {It("hold each request once, including the last ones of the process",
        [] {
          Process process;
          process.Run(2h, AppendOutcome::kAccepted);
          process.Finish();
          const LevelSummary summary = process.Fold();
          CPPUNIT_ASSERT_EQUAL(process.requests, Total(summary));
          CPPUNIT_ASSERT(summary.missing_windows == 0);
          CPPUNIT_ASSERT(process.appends >= 20 && process.appends <= 30);
        }),
     // Guards against a report that counts requests twice, or not at all: the
     // log accepts a record and its answer is lost, or the log doesn't accept
     // it, and the process appends again. The answer of an append doesn't show
     // which of the two happened, so the window's number has to identify a
     // repeat.
     testing::ForEach<OutcomeRow>(
         "count each request once although for half an hour the log",
         {{"refused", AppendOutcome::kRefused, false},
          {"lost its answers", AppendOutcome::kAnswerLost, true},
          {"never answered", AppendOutcome::kNeverAnswered, true}},
         [](const OutcomeRow& row) { return row.name; },
         [](const OutcomeRow& row) {
           Process process;
           process.Run(1h, AppendOutcome::kAccepted);
           process.Run(30min, row.outcome);
           process.Run(1h, AppendOutcome::kAccepted);
           process.Finish();
           const LevelSummary summary = process.Fold();
           CPPUNIT_ASSERT_EQUAL(process.requests, Total(summary));
           CPPUNIT_ASSERT_EQUAL(row.doubles, summary.doubled_windows > 0);
           CPPUNIT_ASSERT(summary.missing_windows == 0);
           CPPUNIT_ASSERT(process.writer.missed() == 0);
         }),
     // Guards against entries whose memory grows while the log is unavailable
     // for a day, because the number of waiting windows has no bound.
     It("wait in bounded number while the log is out, and count missed ones",
        [] {
          Process process;
          process.Run(1h, AppendOutcome::kAccepted);
          process.Run(24h, AppendOutcome::kRefused);
          CPPUNIT_ASSERT_EQUAL(std::size_t{12}, process.writer.pending());
          process.Run(2h, AppendOutcome::kAccepted);
          process.Finish();
          const LevelSummary summary = process.Fold();
          CPPUNIT_ASSERT(summary.missed_windows > 200);
          CPPUNIT_ASSERT_EQUAL(process.writer.missed(), summary.missed_windows);
          CPPUNIT_ASSERT(summary.missing_windows == 0);
          CPPUNIT_ASSERT(Total(summary) >= 180 && Total(summary) < 300);
        }),
     It("are not appended by a process without requests",
        [] {
          RandomSource random(1);
          DigestWriter writer({.interval = 5min}, random, kStart);
          for (Instant now = kStart; now < kStart + 2h; now += 1min) {
            CPPUNIT_ASSERT(!writer.OnTimer(now, kWall));
          }
        }),
     testing::ForEach<IntervalRow>(
         "come at an interval that follows the number of processes:",
         {{1, 5min}, {75, 5min}, {750, 50min}, {100'000, 1h}},
         [](const IntervalRow& row) { return std::to_string(row.entries); },
         [](const IntervalRow& row) {
           CPPUNIT_ASSERT(DigestInterval(row.entries) == row.interval);
         }),
     It("of processes that start together are appended at different times", [] {
       std::vector<Instant> first;
       for (std::uint64_t seed = 0; seed < 40; ++seed) {
         RandomSource random(seed);
         first.push_back(
             DigestWriter({.interval = 5min}, random, kStart).next_timer());
       }
       const auto [earliest, latest] = std::ranges::minmax(first);
       CPPUNIT_ASSERT(latest - earliest > 4min);
     })});

const testing::Story kLog(
    "a log of digests",
    {testing::ForEach<LogRow>(
         "is folded",
         {{"once when it contains every record twice",
           [](Process& process) {
             const std::vector<std::string> once = process.log;
             process.log.insert(process.log.end(), once.begin(), once.end());
           },
           [](const LevelSummary& summary) {
             CPPUNIT_ASSERT(Total(summary) == 120);
             CPPUNIT_ASSERT(summary.doubled_windows > 0);
           }},
          {"in any order",
           [](Process& process) { std::ranges::reverse(process.log); },
           [](const LevelSummary& summary) {
             CPPUNIT_ASSERT(Total(summary) == 120);
             CPPUNIT_ASSERT(summary.missing_windows == 0);
           }},
          {"without the start that retention removed",
           [](Process& process) {
             process.log.erase(process.log.begin(), process.log.begin() + 10);
           },
           [](const LevelSummary& summary) {
             CPPUNIT_ASSERT(Total(summary) > 0 && Total(summary) < 120);
             CPPUNIT_ASSERT(summary.covered < 2h);
           }},
          {"with its gaps reported",
           [](Process& process) {
             process.log.erase(process.log.begin() + 5,
                               process.log.begin() + 8);
           },
           [](const LevelSummary& summary) {
             CPPUNIT_ASSERT(Total(summary) < 120);
             CPPUNIT_ASSERT(summary.missing_windows == 3);
           }},
          {"despite invalid records",
           [](Process& process) {
             process.log.insert(process.log.begin(), "not json");
             process.log.insert(process.log.begin() + 3,
                                process.log[2].substr(0, 60));
             process.log.emplace_back(R"({"format":9})");
             process.log.emplace_back();
           },
           [](const LevelSummary& summary) {
             CPPUNIT_ASSERT(Total(summary) == 120);
             CPPUNIT_ASSERT(summary.bad_records == 4);
           }}},
         [](const LogRow& row) { return row.name; },
         [](const LogRow& row) {
           Process process;
           process.Run(2h, AppendOutcome::kAccepted);
           process.Finish();
           row.damage(process);
           row.check(process.Fold());
         }),
     // Guards against a host that counts an hour twice, or loses an hour, when
     // its wall clock steps between two windows: this happens when wall time
     // identifies the windows. Here it is a label, and the number identifies
     // them.
     It("counts everything once when a wall clock steps",
        [] {
          Process process;
          process.Run(1h, AppendOutcome::kAccepted);
          process.wall_error = -1h;
          process.Run(1h, AppendOutcome::kAccepted);
          process.wall_error = 2h;
          process.Run(1h, AppendOutcome::kAccepted);
          process.Finish();
          const LevelSummary summary = process.Fold();
          CPPUNIT_ASSERT_EQUAL(process.requests, Total(summary));
          CPPUNIT_ASSERT(summary.doubled_windows == 0);
          CPPUNIT_ASSERT(summary.future_windows > 0);
        }),
     It("adds nothing for a process that returns its windows itself",
        [] {
          Process process;
          process.Run(1h, AppendOutcome::kAccepted);
          LevelFold fold;
          fold.AddLive(
              {.entry = EntryId("e-1"), .incarnation = Incarnation(1)});
          for (const std::string& record : process.log) {
            fold.AddRecord(record);
          }
          CPPUNIT_ASSERT(Total(fold.Finish(kWall)) == 0);
          CPPUNIT_ASSERT(fold.Finish(kWall).logged_processes == 0);
        }),
     It("keeps an entry's earlier start apart from its later one",
        [] {
          Process earlier(1);
          earlier.Run(1h, AppendOutcome::kAccepted);
          earlier.Finish();
          Process later(2);
          later.Run(1h, AppendOutcome::kAccepted);
          later.Finish();
          later.log.insert(later.log.begin(), earlier.log.begin(),
                           earlier.log.end());
          const LevelSummary summary = later.Fold();
          CPPUNIT_ASSERT_EQUAL(earlier.requests + later.requests,
                               Total(summary));
          CPPUNIT_ASSERT(summary.logged_processes == 2);
        }),
     It("that is too large is folded in part, and counts the rest as missing",
        [] {
          Process process;
          process.Run(2h, AppendOutcome::kAccepted);
          LevelFold fold(3);
          for (const std::string& record : process.log) {
            fold.AddRecord(record);
          }
          CPPUNIT_ASSERT(fold.Finish(kWall).missing_windows > 0);
        })});

}  // namespace
}  // namespace acacialug::service_levels
