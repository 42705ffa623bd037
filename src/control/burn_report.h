#ifndef CONTROL_BURN_REPORT_H_
#define CONTROL_BURN_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "service_levels/level_fold.h"

namespace acacialug::control {

// The latency target that a row reports on, or both targets of a class. An
// error misses every target.
enum class Target : std::uint8_t {
  kBoth,
  kFirstToken,
  kTokenInterval,
  kAnswer
};
inline constexpr EnumNames<Target, 4> kTargetNames = {{
    {Target::kBoth, "both"},
    {Target::kFirstToken, "first_token"},
    {Target::kTokenInterval, "token_interval"},
    {Target::kAnswer, "answer"},  // of a plain call
}};

enum class Alarm : std::uint8_t { kNone, kTicket, kPage };
inline constexpr EnumNames<Alarm, 3> kAlarmNames = {{
    {Alarm::kNone, "none"},
    {Alarm::kTicket, "ticket"},
    {Alarm::kPage, "page"},
}};

// An alarm is active while the budget burns at `burn_rate` or faster over both
// a long and a short window. The short window ends the alarm soon after its
// cause has ended. Windows and rates are those of Google's SRE workbook,
// chapter 5, table 5-8: 2 %, 5 % and 10 % of 30 days' budget.
struct AlarmRule {
  Alarm alarm = Alarm::kNone;
  std::size_t long_window = 0;  // of service_levels::kReportWindows
  std::size_t short_window = 0;
  double burn_rate = 0;
};
inline constexpr std::array<AlarmRule, 3> kAlarmRules = {{
    {.alarm = Alarm::kPage,
     .long_window = 2,
     .short_window = 0,
     .burn_rate = 14.4},
    {.alarm = Alarm::kPage,
     .long_window = 3,
     .short_window = 1,
     .burn_rate = 6},
    {.alarm = Alarm::kTicket,
     .long_window = 4,
     .short_window = 3,
     .burn_rate = 1},
}};
// The greatest burn rate that an objective allows is 1 / (1 - objective): 20
// at 95 %, but 10 at 90 %, where no burn rate can reach 14.4. The rate of a
// rule is therefore limited to this share of the greatest burn rate.
inline constexpr double kMaxShareOfGreatestRate = 0.9;
// A single miss at low traffic must not raise an alarm.
inline constexpr std::uint64_t kMinMissedRequests = 5;

// How fast a budget burns over one window; a rate of 1 spends exactly the
// budget.
struct WindowBurn {
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;
  double burn_rate = 0;
};
using WindowBurns =
    std::array<WindowBurn, service_levels::kReportWindows.size()>;

// One point of a plot; the newest point is the first.
struct TimelinePoint {
  std::uint64_t total = 0;
  double missed_share = 0;
};

struct BurnRow {
  std::string service;
  std::string latency_class;
  Target target = Target::kBoth;
  std::optional<double> objective;  // empty: not in the manifest any more
  Duration within{};                // the target; zero for kBoth
  // Over the budget's 30 days, as far as the data reaches:
  std::uint64_t requests = 0;
  std::uint64_t good = 0;
  double compliance = 1;   // good / requests; 1 without requests
  double budget_left = 1;  // of the error budget; below 0: overspent
  WindowBurns windows;
  Alarm alarm = Alarm::kNone;
  std::map<std::string, std::uint64_t> causes;  // of what was missed
  std::vector<TimelinePoint> timeline;
};

// Prefill work of a service, in tokens.
struct WasteRow {
  std::string service;
  std::uint64_t computed = 0;
  std::uint64_t wasted = 0;
  double ratio = 0;
  std::array<double, service_levels::kReportWindows.size()> window_ratios{};
  std::map<std::string, std::uint64_t> causes;
  std::vector<TimelinePoint> timeline;
};

enum class LogState : std::uint8_t { kNotRequested, kRead, kUnavailable };
inline constexpr EnumNames<LogState, 3> kLogStateNames = {{
    {LogState::kNotRequested, "not_asked"},
    {LogState::kRead, "read"},
    {LogState::kUnavailable, "unavailable"},
}};

// The sources of a report's figures, and the data that is missing.
struct BurnSources {
  std::vector<std::string> unreachable;  // addresses that did not answer
  std::vector<std::string> unreadable;   // addresses with an invalid answer
  std::size_t entries = 0;
  std::size_t agents = 0;
  std::size_t logged_entries = 0;  // known only from the log
  LogState log = LogState::kNotRequested;
  std::uint64_t doubled_windows = 0;
  std::uint64_t missing_windows = 0;
  std::uint64_t missed_windows = 0;
  std::uint64_t future_windows = 0;
  std::uint64_t bad_records = 0;
  // The agents' counters of refused and lost work since each agent started.
  std::map<std::string, std::uint64_t> agent_counters;

  // True when a process or the log was queried and did not answer: the figures
  // are incomplete.
  bool partial() const;
};

struct BurnReport {
  Duration covered{};  // since the oldest data
  BurnSources sources;
  std::vector<BurnRow> rows;
  std::vector<WasteRow> prefill;
};

// Adds the gaps that the summary lists to `sources`. Thread safe.
BurnReport MakeBurnReport(const service_levels::LevelSummary& summary,
                          BurnSources sources);

// As a table for a terminal, as JSON for pipelines, and as one self-contained
// page with plots that can be read in light, dark and print. Thread safe.
std::string RenderText(const BurnReport& report);
std::string RenderJson(const BurnReport& report);
std::string RenderHtml(const BurnReport& report);

}  // namespace acacialug::control

#endif  // CONTROL_BURN_REPORT_H_
