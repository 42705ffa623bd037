#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/burn_report.h"
#include "control/internal/report_format.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;
using service_levels::kReportWindows;

std::string TextHead() {
  std::string text =
      Format("%-16s %-14s %-22s %9s %10s %10s %8s", "service", "class",
             "target", "objective", "requests", "compliance", "left");
  for (const service_levels::ReportWindow& window : kReportWindows) {
    text += Format(" %6s", std::string(window.name).c_str());
  }
  return text + "  alarm\n";
}

std::string TextRow(const BurnRow& row) {
  std::string text = Format(
      "%-16s %-14s %-22s %9s %10llu %9.3f%%", row.service.c_str(),
      row.latency_class.c_str(), TargetText(row).c_str(),
      row.objective ? Format("%.2f%%", 100 * *row.objective).c_str() : "none",
      static_cast<unsigned long long>(row.requests), 100 * row.compliance);
  if (!row.objective) {
    return text + "\n";
  }
  text += Format(" %7.1f%%", 100 * row.budget_left);
  for (const WindowBurn& window : row.windows) {
    text += window.requests == 0 ? Format(" %6s", "-")
                                 : Format(" %6.2f", window.burn_rate);
  }
  return text + "  " + std::string(NameOf(kAlarmNames, row.alarm)) + "\n";
}

std::string TextRow(const WasteRow& row) {
  std::string text = Format(
      "%-16s wasted prefill %.2f%% (%llu of %llu tokens):", row.service.c_str(),
      100 * row.ratio, static_cast<unsigned long long>(row.wasted),
      static_cast<unsigned long long>(row.computed));
  return text + " " + CausesText(row.causes) + "\n";
}

Json WindowsJson(const WindowBurns& windows) {
  Json json = Json::object();
  for (std::size_t index = 0; index < windows.size(); ++index) {
    const WindowBurn& window = windows[index];
    json[std::string(kReportWindows[index].name)] = {
        {"requests", window.requests},
        {"missed", window.missed},
        {"burn_rate", window.burn_rate}};
  }
  return json;
}

Json RowJson(const BurnRow& row) {
  return {{"service", row.service},
          {"class", row.latency_class},
          {"target", NameOf(kTargetNames, row.target)},
          {"within_ms", Seconds(row.within) * 1000},
          {"objective", row.objective ? Json(*row.objective) : Json()},
          {"requests", row.requests},
          {"good", row.good},
          {"compliance", row.compliance},
          {"budget_left", row.objective ? Json(row.budget_left) : Json()},
          {"windows", WindowsJson(row.windows)},
          {"alarm", NameOf(kAlarmNames, row.alarm)},
          {"causes", row.causes}};
}

Json RowJson(const WasteRow& row) {
  Json ratios = Json::object();
  for (std::size_t index = 0; index < row.window_ratios.size(); ++index) {
    ratios[std::string(kReportWindows[index].name)] = row.window_ratios[index];
  }
  return {{"service", row.service},
          {"computed_tokens", row.computed},
          {"wasted_tokens", row.wasted},
          {"ratio", row.ratio},
          {"window_ratios", std::move(ratios)},
          {"causes", row.causes}};
}

Json SourcesJson(const BurnReport& report) {
  const BurnSources& sources = report.sources;
  return {{"entries", sources.entries},
          {"agents", sources.agents},
          {"logged_entries", sources.logged_entries},
          {"unreachable", sources.unreachable},
          {"unreadable", sources.unreadable},
          {"log", NameOf(kLogStateNames, sources.log)},
          {"doubled_windows", sources.doubled_windows},
          {"missing_windows", sources.missing_windows},
          {"missed_windows", sources.missed_windows},
          {"future_windows", sources.future_windows},
          {"bad_records", sources.bad_records},
          {"agent_counters", sources.agent_counters}};
}

template <typename Row>
Json RowsJson(const std::vector<Row>& rows) {
  Json json = Json::array();
  for (const Row& row : rows) {
    json.push_back(RowJson(row));
  }
  return json;
}

}  // namespace

std::string RenderText(const BurnReport& report) {
  std::string text = SourcesText(report) + "\n";
  for (const std::string& gap : GapTexts(report)) {
    text += (report.sources.partial() ? "partial: " : "note: ") + gap + "\n";
  }
  text += TextHead();
  for (const BurnRow& row : report.rows) {
    text += TextRow(row);
    if (row.good < row.requests) {
      text += "    missed by: " + CausesText(row.causes) + "\n";
    }
  }
  for (const WasteRow& row : report.prefill) {
    text += TextRow(row);
  }
  if (!report.sources.agent_counters.empty()) {
    text += "agents, since they started: " +
            CausesText(report.sources.agent_counters) + "\n";
  }
  return text;
}

std::string RenderJson(const BurnReport& report) {
  return Json{{"partial", report.sources.partial()},
              {"covered_seconds", Seconds(report.covered)},
              {"sources", SourcesJson(report)},
              {"rows", RowsJson(report.rows)},
              {"prefill", RowsJson(report.prefill)}}
             // Names come from other processes and may hold any bytes.
             .dump(2, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

}  // namespace acacialug::control
