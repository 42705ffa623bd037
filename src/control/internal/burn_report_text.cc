#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "control/burn_report.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;

template <typename... Values>
std::string Format(const char* form, Values... values) {
  std::string text(
      static_cast<std::size_t>(std::snprintf(nullptr, 0, form, values...)),
      '\0');
  std::snprintf(text.data(), text.size() + 1, form, values...);
  return text;
}

std::string CausesText(const std::map<std::string, std::uint64_t>& causes) {
  std::string text;
  for (const auto& [cause, count] : causes) {
    text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
  }
  return text.empty() ? "none" : text;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

// The bar shows what is left of the error budget.
std::string BarSvg(const BurnRow& row) {
  const double left = std::clamp(row.budget_left, 0.0, 1.0);
  return Format(
      "<svg viewBox='0 0 200 14' width='200' height='14' role='img' "
      "aria-label='budget left %.0f %%'><rect class='track' width='200' "
      "height='14' rx='3'/><rect class='%s' width='%.1f' height='14' "
      "rx='3'/></svg>",
      100 * left, left > 0.25 ? "good" : "low", 200 * left);
}

constexpr char kPageHead[] = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title><style>
:root{color-scheme:light dark;--ink:#1b1f24;--paper:#fff;--line:#d0d7de;
--good:#2f7d4f;--low:#b3412f}
@media(prefers-color-scheme:dark){:root{--ink:#e6edf3;--paper:#0d1117;
--line:#30363d;--good:#4cb782;--low:#e5735f}}
@media print{:root{--ink:#000;--paper:#fff;--line:#999}}
body{font:16px/1.5 system-ui,sans-serif;color:var(--ink);
background:var(--paper);max-width:70rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;width:100%;margin-bottom:2rem}
th,td{text-align:left;padding:.4rem .6rem;border-bottom:1px solid var(--line)}
.number{text-align:right;font-variant-numeric:tabular-nums}
.track{fill:var(--line)}.good{fill:var(--good)}.low{fill:var(--low)}
</style></head><body><h1>Service-level burn</h1>
)";

std::string HtmlRow(const BurnRow& row) {
  return "<tr><td>" + Escape(row.service) + "</td><td>" +
         Escape(row.latency_class) + "</td>" +
         Format(
             "<td class='number'>%.3f %%</td><td class='number'>%llu</td>"
             "<td class='number'>%.3f %%</td><td>",
             100 * row.objective, static_cast<unsigned long long>(row.requests),
             100 * row.compliance) +
         BarSvg(row) +
         Format(
             "</td><td class='number'>%.2f</td>"
             "<td class='number'>%.2f</td><td>",
             row.burn_rate, row.window_burn_rate) +
         Escape(CausesText(row.causes)) + "</td></tr>\n";
}

std::string HtmlRow(const WasteRow& row) {
  return "<tr><td>" + Escape(row.service) + "</td>" +
         Format(
             "<td class='number'>%llu</td><td class='number'>%llu</td>"
             "<td class='number'>%.2f %%</td><td>",
             static_cast<unsigned long long>(row.computed),
             static_cast<unsigned long long>(row.wasted), 100 * row.ratio) +
         Escape(CausesText(row.causes)) + "</td></tr>\n";
}

}  // namespace

std::string RenderText(const BurnReport& report) {
  std::string text =
      Format("%-18s %-14s %9s %9s %10s %8s %7s %7s\n", "service", "class",
             "objective", "requests", "compliance", "left", "burn",
             Format("%.0fs", Seconds(report.window)).c_str());
  for (const BurnRow& row : report.classes) {
    text += Format("%-18s %-14s %8.2f%% %9llu %9.3f%% %7.1f%% %7.2f %7.2f\n",
                   row.service.c_str(), row.latency_class.c_str(),
                   100 * row.objective,
                   static_cast<unsigned long long>(row.requests),
                   100 * row.compliance, 100 * row.budget_left, row.burn_rate,
                   row.window_burn_rate) +
            "    missed by: " + CausesText(row.causes) + "\n";
  }
  for (const WasteRow& row : report.prefill) {
    text += Format("%-18s wasted prefill %.2f%% (%llu of %llu tokens): ",
                   row.service.c_str(), 100 * row.ratio,
                   static_cast<unsigned long long>(row.wasted),
                   static_cast<unsigned long long>(row.computed)) +
            CausesText(row.causes) + "\n";
  }
  return text;
}

std::string RenderJson(const BurnReport& report) {
  Json classes = Json::array();
  for (const BurnRow& row : report.classes) {
    classes.push_back({{"service", row.service},
                       {"class", row.latency_class},
                       {"objective", row.objective},
                       {"requests", row.requests},
                       {"good", row.good},
                       {"compliance", row.compliance},
                       {"budget_left", row.budget_left},
                       {"burn_rate", row.burn_rate},
                       {"window_requests", row.window_requests},
                       {"window_burn_rate", row.window_burn_rate},
                       {"causes", row.causes}});
  }
  Json prefill = Json::array();
  for (const WasteRow& row : report.prefill) {
    prefill.push_back({{"service", row.service},
                       {"computed_tokens", row.computed},
                       {"wasted_tokens", row.wasted},
                       {"ratio", row.ratio},
                       {"causes", row.causes}});
  }
  return Json{{"window_seconds", Seconds(report.window)},
              {"classes", std::move(classes)},
              {"prefill", std::move(prefill)}}
             .dump(2) +
         "\n";
}

std::string RenderHtml(const BurnReport& report) {
  std::string page = kPageHead;
  page += Format(
      "<table><tr><th>Service</th><th>Class</th><th "
      "class='number'>Objective</th>"
      "<th class='number'>Requests</th><th class='number'>Compliance</th>"
      "<th>Budget left</th>"
      "<th class='number'>Burn rate</th><th class='number'>Last %.0f s</th>"
      "<th>Missed by</th></tr>\n",
      Seconds(report.window));
  for (const BurnRow& row : report.classes) {
    page += HtmlRow(row);
  }
  page +=
      "</table><h2>Prefill work</h2><table><tr><th>Service</th>"
      "<th class='number'>Computed tokens</th>"
      "<th class='number'>Wasted tokens</th><th class='number'>Share</th>"
      "<th>Causes</th></tr>\n";
  for (const WasteRow& row : report.prefill) {
    page += HtmlRow(row);
  }
  return page + "</table></body></html>\n";
}

}  // namespace acacialug::control
