#include "control/burn_report.h"

#include <algorithm>
#include <utility>

namespace acacialug::control {
namespace {

using service_levels::Cause;
using service_levels::CauseCount;
using service_levels::CauseName;
using service_levels::kBudgetWindow;
using service_levels::LevelCounts;
using service_levels::LevelSummary;
using service_levels::Objective;
using service_levels::SeriesKey;
using service_levels::SeriesKind;
using service_levels::SeriesSums;

// Whether a request that ended by `cause` missed `target`.
bool Misses(Target target, Cause cause) {
  switch (target) {
    case Target::kFirstToken:
    case Target::kAnswer:
      return cause != Cause::kLateTokenInterval;
    case Target::kTokenInterval:
      return cause != Cause::kLateFirstToken;
    case Target::kBoth:
      break;
  }
  return true;
}

std::uint64_t MissedOf(Target target, const LevelCounts& counts) {
  if (target == Target::kBoth) {
    // A request may miss both targets, so the sum of the causes can exceed the
    // number of requests.
    return counts.total - std::min(counts.total, counts.good);
  }
  std::uint64_t missed = 0;
  for (const CauseCount& item : counts.causes) {
    missed += Misses(target, item.cause) ? item.count : 0;
  }
  return std::min(missed, counts.total);
}

double ShareOf(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

// An objective of 100 % has no budget: it is overspent by the first miss.
double BurnRate(double missed_share, double objective) {
  constexpr double kLeastBudget = 1e-9;
  return missed_share / std::max(1 - objective, kLeastBudget);
}

bool Rings(const AlarmRule& rule,
           const WindowBurns& windows,
           double objective) {
  const double rate = std::min(
      rule.burn_rate, kMaxShareOfGreatestRate * BurnRate(1, objective));
  const WindowBurn& over_long = windows[rule.long_window];
  return over_long.missed >= kMinMissedRequests &&
         over_long.burn_rate >= rate &&
         windows[rule.short_window].burn_rate >= rate;
}

Alarm AlarmOf(const WindowBurns& windows, double objective) {
  Alarm alarm = Alarm::kNone;
  for (const AlarmRule& rule : kAlarmRules) {
    if (Rings(rule, windows, objective)) {
      alarm = std::max(alarm, rule.alarm);
    }
  }
  return alarm;
}

std::map<std::string, std::uint64_t> CausesOf(Target target,
                                              const LevelCounts& counts) {
  std::map<std::string, std::uint64_t> causes;
  for (const CauseCount& item : counts.causes) {
    if (Misses(target, item.cause)) {
      causes[std::string(CauseName(item.cause))] += item.count;
    }
  }
  return causes;
}

// Sets all fields that follow from the counts. Precondition: target and
// objective are set.
void FillRow(const SeriesSums& sums, BurnRow& row) {
  const double objective = row.objective.value_or(0);
  for (std::size_t index = 0; index < row.windows.size(); ++index) {
    const LevelCounts& counts = sums.windows[index];
    WindowBurn& window = row.windows[index];
    window.requests = counts.total;
    window.missed = MissedOf(row.target, counts);
    window.burn_rate =
        BurnRate(ShareOf(window.missed, window.requests), objective);
  }
  for (const LevelCounts& counts : sums.timeline) {
    row.timeline.push_back(
        {.total = counts.total,
         .missed_share = ShareOf(MissedOf(row.target, counts), counts.total)});
  }
  const WindowBurn& budget = row.windows[kBudgetWindow];
  row.requests = budget.requests;
  row.good = budget.requests - budget.missed;
  row.compliance = 1 - ShareOf(budget.missed, budget.requests);
  row.budget_left = 1 - budget.burn_rate;
  row.causes = CausesOf(row.target, sums.windows[kBudgetWindow]);
  if (row.objective) {
    row.alarm = AlarmOf(row.windows, objective);
  }
}

BurnRow RowOf(const Objective& objective,
              Target target,
              Duration within,
              const SeriesSums& sums) {
  BurnRow row{.service = objective.key.service,
              .latency_class = objective.key.latency_class,
              .target = target,
              .objective = objective.share,
              .within = within};
  FillRow(sums, row);
  return row;
}

void AddRows(const Objective& objective,
             const SeriesSums& sums,
             std::vector<BurnRow>& rows) {
  if (!objective.is_model) {
    rows.push_back(
        RowOf(objective, Target::kAnswer, objective.first_token, sums));
    return;
  }
  rows.push_back(RowOf(objective, Target::kBoth, {}, sums));
  rows.push_back(
      RowOf(objective, Target::kFirstToken, objective.first_token, sums));
  rows.push_back(
      RowOf(objective, Target::kTokenInterval, objective.token_interval, sums));
}

// A class that has counts but is not in the manifest: it was removed since, or
// it exceeds the number of label sets of a process.
BurnRow RowWithoutObjective(const SeriesKey& key, const SeriesSums& sums) {
  BurnRow row{.service = key.service, .latency_class = key.latency_class};
  FillRow(sums, row);
  return row;
}

WasteRow WasteOf(const std::string& service, const SeriesSums& sums) {
  const LevelCounts& counts = sums.windows[kBudgetWindow];
  WasteRow row{.service = service, .computed = counts.total};
  row.wasted = MissedOf(Target::kBoth, counts);
  row.ratio = ShareOf(row.wasted, row.computed);
  for (std::size_t index = 0; index < row.window_ratios.size(); ++index) {
    const LevelCounts& window = sums.windows[index];
    row.window_ratios[index] =
        ShareOf(MissedOf(Target::kBoth, window), window.total);
  }
  for (const LevelCounts& bin : sums.timeline) {
    row.timeline.push_back(
        {.total = bin.total,
         .missed_share = ShareOf(MissedOf(Target::kBoth, bin), bin.total)});
  }
  row.causes = CausesOf(Target::kBoth, counts);
  return row;
}

void TakeGaps(const LevelSummary& summary, BurnSources& sources) {
  sources.entries = summary.live_processes;
  sources.logged_entries = summary.logged_processes;
  sources.doubled_windows = summary.doubled_windows;
  sources.missing_windows = summary.missing_windows;
  sources.missed_windows = summary.missed_windows;
  sources.future_windows = summary.future_windows;
  sources.bad_records = summary.bad_records;
}

}  // namespace

bool BurnSources::partial() const {
  return !this->unreachable.empty() || !this->unreadable.empty() ||
         this->log == LogState::kUnavailable;
}

BurnReport MakeBurnReport(const LevelSummary& summary, BurnSources sources) {
  BurnReport report{.covered = summary.covered, .sources = std::move(sources)};
  TakeGaps(summary, report.sources);
  auto remaining = summary.series;
  for (const Objective& objective : summary.objectives) {
    AddRows(objective, remaining[objective.key], report.rows);
    remaining.erase(objective.key);
  }
  for (const auto& [key, sums] : remaining) {
    if (key.kind == SeriesKind::kPrefill) {
      report.prefill.push_back(WasteOf(key.service, sums));
    } else {
      report.rows.push_back(RowWithoutObjective(key, sums));
    }
  }
  return report;
}

}  // namespace acacialug::control
