#include "control/burn_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "framework/testing/story.h"

namespace acacialug::control {
namespace {

using service_levels::Cause;
using service_levels::CauseOf;
using service_levels::kBudgetWindow;
using service_levels::LevelCounts;
using service_levels::LevelSummary;
using service_levels::SeriesKey;
using service_levels::SeriesKind;
using testing::It;

const SeriesKey kDesk = {.service = "lm", .latency_class = "desk"};

LevelSummary SummaryOf(const SeriesKey& key, double objective, bool is_model) {
  LevelSummary summary;
  summary.objectives.push_back({.key = key,
                                .share = objective,
                                .is_model = is_model,
                                .first_token = 400ms,
                                .token_interval = 60ms});
  return summary;
}

// 100 requests: 80 are good, 5 have a late first token, 3 a late token
// interval, 2 both, and 10 are refused.
LevelCounts MixedCounts() {
  return {.total = 100,
          .good = 80,
          .causes = {{Cause::kLateFirstToken, 7},
                     {Cause::kLateTokenInterval, 5},
                     {CauseOf(ResultCode::kOverloaded), 10}}};
}

LevelSummary MixedSummary() {
  LevelSummary summary = SummaryOf(kDesk, 0.9, true);
  summary.series[kDesk].windows[kBudgetWindow] = MixedCounts();
  summary.series[kDesk].timeline[3] = MixedCounts();
  summary.series[{.kind = SeriesKind::kPrefill, .service = "lm"}]
      .windows[kBudgetWindow] = {
      .total = 1000, .good = 980, .causes = {{Cause::kLateResult, 20}}};
  summary.live_processes = 2;
  summary.covered = 25h;
  return summary;
}

struct TargetRow {
  Target target;
  std::uint64_t good;
  double budget_left;
  std::size_t causes;
};

// Counts of a window in which a share burns at `rate`.
LevelCounts Burning(double rate, double objective, std::uint64_t requests) {
  const auto missed = static_cast<std::uint64_t>(
      std::lround(rate * (1 - objective) * static_cast<double>(requests)));
  return {.total = requests, .good = requests - missed};
}

struct AlarmRow {
  std::string name;
  double objective;
  std::uint64_t requests;
  std::array<double, 6> rates;  // 5m 30m 1h 6h 3d 30d
  Alarm alarm;
};

const testing::Story kBurn(
    "a burn report",
    {testing::ForEach<TargetRow>(
         "shows compliance, budget left and causes for target",
         {{Target::kBoth, 80, -1.0, 3},
          {Target::kFirstToken, 83, -0.7, 2},
          {Target::kTokenInterval, 85, -0.5, 2}},
         [](const TargetRow& row) {
           return std::string(NameOf(kTargetNames, row.target));
         },
         [](const TargetRow& row) {
           const BurnReport report = MakeBurnReport(MixedSummary(), {});
           const auto found =
               std::ranges::find(report.rows, row.target, &BurnRow::target);
           CPPUNIT_ASSERT(found != report.rows.end());
           CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, found->requests);
           CPPUNIT_ASSERT_EQUAL(row.good, found->good);
           CPPUNIT_ASSERT_DOUBLES_EQUAL(row.budget_left, found->budget_left,
                                        1e-9);
           CPPUNIT_ASSERT_EQUAL(row.causes, found->causes.size());
         }),
     It("has one target for a plain service: the whole answer",
        [] {
          LevelSummary summary = SummaryOf(kDesk, 0.9, false);
          summary.series[kDesk].windows[kBudgetWindow] = MixedCounts();
          const BurnReport report = MakeBurnReport(summary, {});
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.rows.size());
          CPPUNIT_ASSERT(report.rows[0].target == Target::kAnswer);
          CPPUNIT_ASSERT(report.rows[0].within == 400ms);
        }),
     It("shows the wasted share of prefill work",
        [] {
          const BurnReport report = MakeBurnReport(MixedSummary(), {});
          CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, report.prefill.at(0).ratio, 1e-9);
          CPPUNIT_ASSERT(report.prefill[0].causes.at("late") == 20);
        }),
     testing::ForEach<AlarmRow>(
         "rings",
         {{"no alarm within the budget",
           0.95,
           1000,
           {0.5, 0.5, 0.5, 0.5, 0.5, 0.5},
           Alarm::kNone},
          {"a page while the budget burns fast",
           0.95,
           1000,
           {15, 15, 15, 3, 0.5, 0.1},
           Alarm::kPage},
          {"no page when the fast burn has ended",
           0.95,
           1000,
           {0, 5, 15, 3, 0.5, 0.1},
           Alarm::kNone},
          {"no page for a blip",
           0.95,
           1000,
           {20, 3, 2, 0.5, 0.1, 0.1},
           Alarm::kNone},
          {"a page for a slower burn over hours",
           0.95,
           1000,
           {7, 7, 7, 7, 0.5, 0.1},
           Alarm::kPage},
          {"a ticket for a burn over days",
           0.95,
           1000,
           {1.5, 1.5, 1.5, 1.5, 1.5, 0.2},
           Alarm::kTicket},
          {"no alarm for a single miss at low traffic",
           0.95,
           1,
           {20, 20, 20, 20, 20, 20},
           Alarm::kNone},
          // An objective of 90 % allows no burn rate above 10, so a rule
          // at 14.4 would never raise an alarm.
          {"a page when all fails below an objective of 90 %",
           0.9,
           1000,
           {10, 10, 10, 1, 0.1, 0.1},
           Alarm::kPage}},
         [](const AlarmRow& row) { return row.name; },
         [](const AlarmRow& row) {
           LevelSummary summary = SummaryOf(kDesk, row.objective, false);
           for (std::size_t window = 0; window < row.rates.size(); ++window) {
             LevelCounts counts =
                 Burning(row.rates[window], row.objective, row.requests);
             counts.causes = {{CauseOf(ResultCode::kOverloaded),
                               counts.total - counts.good}};
             summary.series[kDesk].windows[window] = counts;
           }
           const BurnReport report = MakeBurnReport(summary, {});
           CPPUNIT_ASSERT_EQUAL(
               std::string(NameOf(kAlarmNames, row.alarm)),
               std::string(NameOf(kAlarmNames, report.rows.at(0).alarm)));
         }),
     It("shows a class that the manifest no longer has, without a budget",
        [] {
          LevelSummary summary = MixedSummary();
          summary.objectives.clear();
          const BurnReport report = MakeBurnReport(summary, {});
          CPPUNIT_ASSERT(!report.rows.at(0).objective);
          CPPUNIT_ASSERT(report.rows[0].alarm == Alarm::kNone);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, report.rows[0].requests);
        }),
     It("lists its gaps in every form",
        [] {
          LevelSummary summary = MixedSummary();
          summary.missing_windows = 3;
          const BurnReport report =
              MakeBurnReport(summary, {.unreachable = {"10.0.0.9:8081"},
                                       .log = LogState::kUnavailable});
          CPPUNIT_ASSERT(report.sources.partial());
          for (const std::string& text :
               {RenderText(report), RenderJson(report), RenderHtml(report)}) {
            CPPUNIT_ASSERT(text.find("10.0.0.9:8081") != std::string::npos);
            CPPUNIT_ASSERT(text.find("partial") != std::string::npos);
          }
        }),
     It("has the same figures as JSON",
        [] {
          const auto json = nlohmann::json::parse(
              RenderJson(MakeBurnReport(MixedSummary(), {})));
          CPPUNIT_ASSERT(json["partial"] == false);
          CPPUNIT_ASSERT(json["rows"].size() == 3);
          CPPUNIT_ASSERT(json["rows"][0]["windows"]["30d"]["missed"] == 20);
          CPPUNIT_ASSERT(json["rows"][0]["causes"]["overloaded"] == 10);
          CPPUNIT_ASSERT(json["prefill"][0]["wasted_tokens"] == 20);
        }),
     // Guards against a service name that runs as a script in an operator's
     // browser: a pipeline publishes a name with markup, and the page holds the
     // name unescaped.
     It("is one page that loads nothing and holds names as text",
        [] {
          LevelSummary summary = SummaryOf(
              {.service = "<script>x</script>", .latency_class = "a'b"}, 0.9,
              true);
          summary.series[summary.objectives[0].key].windows[kBudgetWindow] =
              MixedCounts();
          const std::string page = RenderHtml(MakeBurnReport(summary, {}));
          for (const char* const never :
               {"<script", "http://", "https://", "src=", "@import", "url("}) {
            CPPUNIT_ASSERT_MESSAGE(never,
                                   page.find(never) == std::string::npos);
          }
          CPPUNIT_ASSERT(page.find("&lt;script&gt;") != std::string::npos);
          CPPUNIT_ASSERT(page.find("<svg") != std::string::npos);
        }),
     It("of a system without requests shows no spent budget, in every form",
        [] {
          const BurnReport report =
              MakeBurnReport(SummaryOf(kDesk, 0.9, true), {});
          CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, report.rows.at(0).budget_left,
                                       1e-9);
          CPPUNIT_ASSERT(!report.sources.partial());
          CPPUNIT_ASSERT(RenderText(report).find("desk") != std::string::npos);
          CPPUNIT_ASSERT(RenderJson(report).find("\"desk\"") !=
                         std::string::npos);
          CPPUNIT_ASSERT(RenderHtml(report).find("<svg") != std::string::npos);
        })});

}  // namespace
}  // namespace acacialug::control
