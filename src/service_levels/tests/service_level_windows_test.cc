#include "service_levels/service_level_windows.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "service_levels/digest_codec.h"
#include "service_levels/level_fold.h"

namespace acacialug::service_levels {
namespace {

using testing::It;

const Instant kStart = Instant(5000s);
const SeriesKey kDesk = {.service = "lm", .latency_class = "desk"};

LevelCounts Good(std::uint64_t requests) {
  return {.total = requests, .good = requests};
}

LevelCounts Missed(Cause cause) {
  return {.total = 1, .causes = {{.cause = cause, .count = 1}}};
}

LevelPage PageOf(const ServiceLevelWindows& windows, Instant now) {
  return {.entry = EntryId("e-1"),
          .incarnation = Incarnation(7),
          .manifest = LogOffset(3),
          .objectives = {{.key = kDesk, .share = 0.9, .first_token = 2s}},
          .missed_digests = 1,
          .levels = windows.Read(now)};
}

// Returns the sums that a report shows, read from an encoded page.
SeriesSums Sums(const ServiceLevelWindows& windows,
                Instant now,
                const SeriesKey& key = kDesk) {
  LevelFold fold;
  const Result<LevelPage> page =
      DecodeLevelPage(EncodeLevelPage(PageOf(windows, now)));
  CPPUNIT_ASSERT(page.ok());
  fold.AddLive(*page);
  return fold.Finish(WallTime()).series[key];
}

struct AgeRow {
  std::string name;
  Duration age;
  std::array<std::uint64_t, kReportWindows.size()> in;  // 5m 30m 1h 6h 3d 30d
};

const testing::Story kWindows(
    "the windows of service levels",
    {testing::ForEach<AgeRow>(
         "count a request",
         {{"of now into all", 0s, {1, 1, 1, 1, 1, 1}},
          {"of 4 min ago into all", 4min, {1, 1, 1, 1, 1, 1}},
          {"of 6 min ago not into 5 min", 6min, {0, 1, 1, 1, 1, 1}},
          {"of 40 min ago into 1 h", 40min, {0, 0, 1, 1, 1, 1}},
          {"of 2 h ago into 6 h", 2h, {0, 0, 0, 1, 1, 1}},
          {"of a day ago into 3 d", 24h, {0, 0, 0, 0, 1, 1}},
          {"of 29 d ago into the budget's 30", 29 * 24h, {0, 0, 0, 0, 0, 1}},
          {"of 31 d ago nowhere", 31 * 24h, {0, 0, 0, 0, 0, 0}}},
         [](const AgeRow& row) { return row.name; },
         [](const AgeRow& row) {
           ServiceLevelWindows windows({}, kStart);
           windows.Count(kDesk, Good(1), kStart + 1h);
           const SeriesSums sums = Sums(windows, kStart + 1h + row.age);
           for (std::size_t window = 0; window < row.in.size(); ++window) {
             CPPUNIT_ASSERT_EQUAL(row.in[window], sums.windows[window].total);
           }
         }),
     It("drop a bin when its index in the ring is used again",
        [] {
          ServiceLevelWindows windows({}, kStart);
          windows.Count(kDesk, Good(100), kStart);
          windows.Count(kDesk, Good(1), kStart + 5min);
          CPPUNIT_ASSERT(Sums(windows, kStart + 5min).windows[0].total == 1);
          CPPUNIT_ASSERT(Sums(windows, kStart + 5min).windows[1].total == 101);
        }),
     It("keep causes apart, and every rate of a window is of that window",
        [] {
          ServiceLevelWindows windows({}, kStart);
          windows.Count(kDesk, Good(8), kStart);
          windows.Count(kDesk, Missed(Cause::kLateFirstToken), kStart + 1min);
          windows.Count(kDesk, Missed(CauseOf(ResultCode::kOverloaded)),
                        kStart + 2min);
          const LevelCounts counts = Sums(windows, kStart + 2min).windows[0];
          CPPUNIT_ASSERT(counts.total == 10 && counts.good == 8);
          CPPUNIT_ASSERT(counts.CountOf(Cause::kLateFirstToken) == 1);
          CPPUNIT_ASSERT(counts.CountOf(CauseOf(ResultCode::kOverloaded)) == 1);
        }),
     // Guards against an entry whose memory grows until the host ends it: a
     // pipeline publishes a manifest every few seconds, for months, with new
     // names of classes each time, and the number of label sets has no bound.
     It("count label sets above the bound as other",
        [] {
          ServiceLevelWindows windows({.max_series = 2}, kStart);
          for (int name = 0; name < 50; ++name) {
            windows.Count(
                {.service = "lm", .latency_class = std::to_string(name)},
                Good(1), kStart);
          }
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, windows.series());
          CPPUNIT_ASSERT(
              Sums(windows, kStart, {.service = "other"}).windows[0].total ==
              48);
        }),
     It("count causes above the bound as other",
        [] {
          ServiceLevelWindows windows({.max_causes = 2}, kStart);
          for (const ResultCode code :
               {ResultCode::kOverloaded, ResultCode::kDraining,
                ResultCode::kNoEndpoint, ResultCode::kLinkBusy}) {
            windows.Count(kDesk, Missed(CauseOf(code)), kStart);
          }
          const LevelCounts counts = Sums(windows, kStart).windows[0];
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.causes.size());
          CPPUNIT_ASSERT(counts.CountOf(Cause::kOther) == 2);
        }),
     It("lose no count whose time is before the newest",
        [] {
          ServiceLevelWindows windows({}, kStart);
          windows.Count(kDesk, Good(1), kStart + 1h);
          windows.Count(kDesk, Good(1), kStart + 59min);
          windows.Count(kDesk, Good(1), kStart - 1h);
          CPPUNIT_ASSERT(Sums(windows, kStart + 1h).windows[0].total == 3);
        }),
     It("of a process that is queried twice count once", [] {
       ServiceLevelWindows windows({}, kStart);
       windows.Count(kDesk, Good(1), kStart);
       LevelFold fold;
       fold.AddLive(PageOf(windows, kStart));
       fold.AddLive(PageOf(windows, kStart));
       const LevelSummary summary = fold.Finish(WallTime());
       CPPUNIT_ASSERT(summary.series.at(kDesk).windows[0].total == 1);
       CPPUNIT_ASSERT(summary.live_processes == 1);
       CPPUNIT_ASSERT(summary.objectives.at(0).share == 0.9);
     })});

struct BadPageRow {
  std::string name;
  std::string from;
  std::string to;
};

const testing::Story kPage(
    "a page of service levels",
    {testing::ForEach<BadPageRow>(
        "is refused whole",
        {{"when it is cut off", "]}", ""},
         {"when it is of another format", "\"format\":1", "\"format\":2"},
         {"when a count is negative", "\"total\":1", "\"total\":-1"},
         {"when a count is no number", "\"total\":1", "\"total\":\"1\""},
         {"with more good than in all", "\"good\":1", "\"good\":2"},
         {"with an age out of range", "\"age_ms\":0",
          "\"age_ms\":18446744073709551615"},
         {"with an objective above 1", "\"objective\":0.9",
          "\"objective\":1.5"},
         {"with an unknown kind", "\"kind\":\"requests\"",
          "\"kind\":\"wishes\""},
         {"without a name", "\"entry\"", "\"exit\""}},
        [](const BadPageRow& row) { return row.name; },
        [](const BadPageRow& row) {
          ServiceLevelWindows windows({}, kStart);
          windows.Count(kDesk, Good(1), kStart);
          std::string text = EncodeLevelPage(PageOf(windows, kStart));
          CPPUNIT_ASSERT(DecodeLevelPage(text).ok());
          const std::size_t found = text.rfind(row.from);
          CPPUNIT_ASSERT(found != std::string::npos);
          text.replace(found, row.from.size(), row.to);
          const Result<LevelPage> page = DecodeLevelPage(text);
          CPPUNIT_ASSERT(!page.ok());
          CPPUNIT_ASSERT(page.error().result_code() ==
                         ResultCode::kPlatformBadAnswer);
        })});

}  // namespace
}  // namespace acacialug::service_levels
