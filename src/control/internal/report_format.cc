#include "control/internal/report_format.h"

#include <algorithm>
#include <array>
#include <utility>

namespace acacialug::control {
namespace {

struct Unit {
  std::chrono::seconds length;
  const char* name;
};
constexpr std::array<Unit, 4> kUnits = {{{std::chrono::hours(24), "d"},
                                         {std::chrono::hours(1), "h"},
                                         {std::chrono::minutes(1), "min"},
                                         {std::chrono::seconds(1), "s"}}};

std::string Number(std::uint64_t number) {
  return std::to_string(number);
}

std::string Joined(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

}  // namespace

std::string DurationText(Duration duration) {
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  std::vector<std::string> parts;
  for (const Unit& unit : kUnits) {
    const auto count = seconds / unit.length;
    seconds -= unit.length * count;
    if (count > 0 && parts.size() < 2) {
      parts.push_back(std::to_string(count) + " " + unit.name);
    } else if (!parts.empty()) {
      break;
    }
  }
  if (parts.empty()) {
    return "0 s";
  }
  return parts.size() == 1 ? parts[0] : parts[0] + " " + parts[1];
}

std::string TargetText(const BurnRow& row) {
  std::string text(NameOf(kTargetNames, row.target));
  if (row.within > Duration::zero()) {
    text += row.within < 1s ? Format(" %.0f ms", 1000 * Seconds(row.within))
                            : Format(" %.1f s", Seconds(row.within));
  }
  return text;
}

std::string CausesText(const std::map<std::string, std::uint64_t>& causes) {
  std::vector<std::pair<std::string, std::uint64_t>> sorted(causes.begin(),
                                                            causes.end());
  std::ranges::stable_sort(sorted, std::ranges::greater(),
                           [](const auto& item) { return item.second; });
  std::vector<std::string> texts;
  texts.reserve(sorted.size());
  for (const auto& [cause, count] : sorted) {
    texts.push_back(cause + " " + Number(count));
  }
  return texts.empty() ? "none" : Joined(texts);
}

std::vector<std::string> GapTexts(const BurnReport& report) {
  const BurnSources& sources = report.sources;
  std::vector<std::string> gaps;
  if (!sources.unreachable.empty()) {
    gaps.push_back("no answer from " + Joined(sources.unreachable));
  }
  if (!sources.unreadable.empty()) {
    gaps.push_back("an answer that is no page of service levels from " +
                   Joined(sources.unreadable));
  }
  if (sources.log == LogState::kUnavailable) {
    gaps.emplace_back(
        "the log did not answer: entries that are gone are not "
        "in these figures");
  }
  if (sources.missing_windows > 0) {
    gaps.push_back(Number(sources.missing_windows) +
                   " windows of entries that are gone are not in the log");
  }
  if (sources.missed_windows > 0) {
    gaps.push_back(Number(sources.missed_windows) +
                   " windows were dropped by entries while the log was out");
  }
  if (sources.future_windows > 0) {
    gaps.push_back(Number(sources.future_windows) +
                   " windows in the log are labelled later than now: a host's "
                   "clock is wrong");
  }
  if (sources.bad_records > 0) {
    gaps.push_back(Number(sources.bad_records) +
                   " records in the log are no digests");
  }
  return gaps;
}

std::string SourcesText(const BurnReport& report) {
  const BurnSources& sources = report.sources;
  std::string text = Number(sources.entries) + " entries, " +
                     Number(sources.agents) + " agents; ";
  text += sources.log == LogState::kNotRequested
              ? "log not asked"
              : Number(sources.logged_entries) + " entries by the log alone";
  return text + "; data of " + DurationText(report.covered);
}

}  // namespace acacialug::control
