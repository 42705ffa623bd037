#include <algorithm>
#include <cmath>

#include "control/burn_report.h"
#include "control/internal/report_format.h"

namespace acacialug::control {
namespace {

using service_levels::kReportWindows;

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 150;
constexpr double kPlotLeft = 56;  // for the labels of the axis
constexpr double kPlotTop = 14;
constexpr double kPlotBottom = 22;
constexpr std::size_t kMaxCauses = 8;  // of a plot; the table shows all causes

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
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

// Groups the digits by three with a narrow no-break space.
std::string Grouped(std::uint64_t number) {
  std::string text = std::to_string(number);
  for (std::size_t at = text.size(); at > 3;) {
    at -= 3;
    text.insert(at, "\u202f");
  }
  return text;
}

constexpr char kPageHead[] = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width,initial-scale=1">
<title>Service-level burn</title><style>
:root{color-scheme:light dark;--ink:#1b1f24;--dim:#57606a;--paper:#fff;
--line:#d0d7de;--card:#f6f8fa;--good:#1a6fb5;--bad:#b3412f;--warn:#8a5a00}
@media(prefers-color-scheme:dark){:root{--ink:#e6edf3;--dim:#9aa4af;
--paper:#0d1117;--line:#30363d;--card:#161b22;--good:#58a6ff;--bad:#ff7b6b;
--warn:#e3b341}}
*{print-color-adjust:exact;-webkit-print-color-adjust:exact}
body{font:15px/1.5 system-ui,sans-serif;color:var(--ink);
background:var(--paper);max-width:80rem;margin:2rem auto;padding:0 1rem}
h1{margin-bottom:0}h2{margin:2.2rem 0 .6rem}h3{margin:0 0 .4rem;font-size:1em}
p.sources{color:var(--dim);margin-top:.2rem}
.gaps{border:1px solid var(--warn);border-left-width:6px;padding:.6rem 1rem}
.gaps ul{margin:.2rem 0 0;padding-left:1.2rem}
.scroll{overflow-x:auto}
table{border-collapse:collapse;width:100%;font-size:.9em}
th,td{text-align:left;padding:.35rem .45rem;border-bottom:1px solid var(--line);
white-space:nowrap}
th{color:var(--dim);font-weight:600}
.number{text-align:right;font-variant-numeric:tabular-nums}
.over{color:var(--bad);font-weight:700}.page{color:var(--bad);font-weight:700}
.ticket{color:var(--warn);font-weight:700}
section{background:var(--card);border:1px solid var(--line);border-radius:6px;
padding:.8rem 1rem;margin:.8rem 0}
svg{display:block;max-width:100%;height:auto}
td svg{display:inline-block;vertical-align:middle;margin-right:.5rem;
max-width:none}
.plots{display:flex;flex-wrap:wrap;gap:1rem 2rem}
.plots>div{flex:1 1 24rem;min-width:0}.plots>div:first-child{flex-grow:2}
svg text{fill:var(--dim);font:11px system-ui,sans-serif}
.track{fill:var(--line)}.good{fill:var(--good)}.bad{fill:var(--bad)}
.axis{stroke:var(--line)}.limit{stroke:var(--ink);stroke-dasharray:5 4}
svg .name{fill:var(--ink)}
@page{size:landscape;margin:12mm}
@media print{:root{color-scheme:light;--ink:#000;--dim:#444;--paper:#fff;
--line:#999;--card:#fff;--good:#1a6fb5;--bad:#b3412f;--warn:#8a5a00}
body{margin:0;max-width:none;font-size:11px}section{break-inside:avoid}
.scroll{overflow:visible}th,td{padding:.2rem .3rem}td svg{width:50px}}
</style></head><body><h1>Service-level burn</h1>
)";

// A bar that shows the remaining error budget.
std::string BudgetBar(const BurnRow& row) {
  const double left = std::clamp(row.budget_left, 0.0, 1.0);
  return Format(
      "<svg viewBox='0 0 80 12' width='80' height='12' role='img' "
      "aria-label='budget left %.0f %%'><rect class='track' width='80' "
      "height='12' rx='3'/><rect class='%s' width='%.1f' height='12' "
      "rx='3'/></svg>",
      100 * row.budget_left, left > 0.25 ? "good" : "bad", 80 * left);
}

std::string NumberCell(const std::string& text, bool overspent = false) {
  return std::string("<td class='number") + (overspent ? " over" : "") + "'>" +
         text + "</td>";
}

std::string TextCell(const std::string& text) {
  return "<td>" + Escape(text) + "</td>";
}

std::string TableHead(const std::vector<std::string>& names,
                      const std::vector<std::string>& number_names) {
  std::string html = "<div class='scroll'><table><thead><tr>";
  for (const std::string& name : names) {
    html += "<th>" + name + "</th>";
  }
  for (const std::string& name : number_names) {
    html += "<th class='number'>" + name + "</th>";
  }
  for (const service_levels::ReportWindow& window : kReportWindows) {
    html += "<th class='number'>" + std::string(window.name) + "</th>";
  }
  return html;
}

std::string BurnTableRow(const BurnRow& row) {
  std::string html =
      "<tr>" + TextCell(row.service) + TextCell(row.latency_class) +
      TextCell(TargetText(row)) +
      NumberCell(row.objective ? Format("%.2f %%", 100 * *row.objective)
                               : "none") +
      NumberCell(Grouped(row.requests)) +
      NumberCell(Format("%.3f %%", 100 * row.compliance));
  for (const WindowBurn& window : row.windows) {
    html += window.requests == 0 || !row.objective
                ? NumberCell("&ndash;")
                : NumberCell(Format("%.2f", window.burn_rate),
                             window.burn_rate > 1);
  }
  const std::string alarm(NameOf(kAlarmNames, row.alarm));
  return html +
         NumberCell(row.objective ? BudgetBar(row) +
                                        Format("%.1f %%", 100 * row.budget_left)
                                  : "",
                    row.objective && row.budget_left < 0) +
         "<td class='" + alarm + "'>" + alarm + "</td></tr>\n";
}

std::string BurnTable(const BurnReport& report) {
  std::string html =
      "<h2>Objectives, and burn rate by window</h2>" +
      TableHead({"Service", "Class", "Target"},
                {"Objective", "Requests", "Compliance"}) +
      "<th class='number'>Budget left</th><th>Alarm</th></tr></thead><tbody>\n";
  for (const BurnRow& row : report.rows) {
    html += BurnTableRow(row);
  }
  return html +
         "</tbody></table></div><p class='sources'>A burn rate of 1 spends "
         "the error budget in just 30 days.</p>\n";
}

// The top of the axis: a round share at or above the largest share shown.
double AxisTop(double max_share) {
  for (const double top :
       {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5}) {
    if (max_share <= top) {
      return top;
    }
  }
  return 1;
}

double HeightOf(double share, double top) {
  return (kPlotHeight - kPlotTop - kPlotBottom) * std::min(share / top, 1.0);
}

std::string HorizontalLine(const char* style, double share, double top) {
  const double y = kPlotHeight - kPlotBottom - HeightOf(share, top);
  return Format("<line class='%s' x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f'/>",
                style, kPlotLeft, kPlotWidth, y, y);
}

std::string AxisText(double share, double top) {
  return Format(
      "<text x='%.0f' y='%.1f' text-anchor='end'>%g %%</text>", kPlotLeft - 6,
      kPlotHeight - kPlotBottom - HeightOf(share, top) + 4, 100 * share);
}

// The newest point is at the right.
std::string PlotBars(const std::vector<TimelinePoint>& timeline,
                     double limit,
                     double top) {
  std::string html;
  const double step =
      (kPlotWidth - kPlotLeft) / static_cast<double>(timeline.size());
  for (std::size_t age = 0; age < timeline.size(); ++age) {
    const TimelinePoint& point = timeline[age];
    if (point.total == 0) {
      continue;
    }
    // At least one pixel, so that a point with requests and no miss differs
    // from a point without requests.
    const double height = std::max(HeightOf(point.missed_share, top), 1.0);
    html += Format(
        "<rect class='%s' x='%.1f' y='%.1f' width='%.1f' height='%.1f'>"
        "<title>%zu min ago: %.2f %% of %s</title></rect>",
        point.missed_share > limit ? "bad" : "good",
        kPlotWidth - step * static_cast<double>(age + 1) + 1,
        kPlotHeight - kPlotBottom - height, step - 2, height, age * 10,
        100 * point.missed_share, Grouped(point.total).c_str());
  }
  return html;
}

// Plots shares over six hours, with a horizontal line at `limit` (0: no line).
std::string Plot(const std::vector<TimelinePoint>& timeline,
                 double limit,
                 const std::string& label) {
  double max_share = limit * 1.5;
  for (const TimelinePoint& point : timeline) {
    max_share = std::max(max_share, point.missed_share);
  }
  const double top = AxisTop(max_share);
  std::string html =
      Format(
          "<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f' "
          "role='img' aria-label='",
          kPlotWidth, kPlotHeight, kPlotWidth, kPlotHeight) +
      Escape(label) + "'>" + HorizontalLine("axis", 0, top) +
      HorizontalLine("axis", top / 2, top) + HorizontalLine("axis", top, top) +
      AxisText(0, top) + AxisText(top / 2, top) + AxisText(top, top) +
      PlotBars(timeline, limit > 0 ? limit : 1, top);
  if (limit > 0) {
    html += HorizontalLine("limit", limit, top);
  }
  return html +
         Format(
             "<text x='%.0f' y='%.0f'>6 h ago, by 10 min</text><text x='%.0f' "
             "y='%.0f' text-anchor='end'>now</text></svg>\n",
             kPlotLeft, kPlotHeight - 6, kPlotWidth, kPlotHeight - 6);
}

// One bar per cause, the largest first.
std::string CausePlot(const std::map<std::string, std::uint64_t>& causes) {
  constexpr double kRow = 20;
  constexpr double kNames = 160;
  constexpr double kBars = 180;
  constexpr double kWidth = kNames + kBars + 90;  // the rest for numbers
  std::vector<std::pair<std::string, std::uint64_t>> sorted(causes.begin(),
                                                            causes.end());
  std::ranges::stable_sort(sorted, std::ranges::greater(),
                           [](const auto& item) { return item.second; });
  sorted.resize(std::min(sorted.size(), kMaxCauses));
  if (sorted.empty()) {
    return {};
  }
  const double height = kRow * static_cast<double>(sorted.size());
  std::string html = Format(
      "<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f' role='img' "
      "aria-label='causes'>",
      kWidth, height, kWidth, height);
  double y = 0;
  for (const auto& [cause, count] : sorted) {
    const double width =
        kBars * static_cast<double>(count) /
        static_cast<double>(std::max<std::uint64_t>(1, sorted.front().second));
    html += Format("<text class='name' x='%.0f' y='%.1f' text-anchor='end'>",
                   kNames - 8, y + 14) +
            Escape(cause) +
            Format(
                "</text><rect class='bad' x='%.0f' y='%.1f' width='%.1f' "
                "height='12'/><text x='%.1f' y='%.1f'>%s</text>",
                kNames, y + 4, std::max(width, 1.0), kNames + width + 8, y + 14,
                Grouped(count).c_str());
    y += kRow;
  }
  return html + "</svg>\n";
}

// A plot over time with the causes beside it.
std::string Section(const std::string& title,
                    const std::string& plot,
                    const std::string& cause_title,
                    const std::map<std::string, std::uint64_t>& causes) {
  std::string html = "<section><div class='plots'><div><h3>" + Escape(title) +
                     "</h3>" + plot + "</div>";
  if (!causes.empty()) {
    html += "<div><h3>" + cause_title + "</h3>" + CausePlot(causes) + "</div>";
  }
  return html + "</div></section>\n";
}

std::string BurnSection(const BurnRow& row) {
  const double budget = row.objective ? 1 - *row.objective : 0;
  std::string title =
      row.service + " " + row.latency_class + ": share of requests missed";
  if (budget > 0) {
    title += Format("; dashed: budget of %g %%", 100 * budget);
  }
  return Section(title, Plot(row.timeline, budget, title),
                 "Missed by (requests, 30 d)", row.causes);
}

std::string WasteTable(const BurnReport& report) {
  std::string html =
      "<h2>Prefill work, and share wasted by window</h2>" +
      TableHead({"Service"}, {"Computed tokens", "Wasted tokens", "Share"}) +
      "</tr></thead><tbody>\n";
  for (const WasteRow& row : report.prefill) {
    html += "<tr>" + TextCell(row.service) + NumberCell(Grouped(row.computed)) +
            NumberCell(Grouped(row.wasted)) +
            NumberCell(Format("%.2f %%", 100 * row.ratio));
    for (const double ratio : row.window_ratios) {
      html += NumberCell(Format("%.2f %%", 100 * ratio));
    }
    html += "</tr>\n";
  }
  return html + "</tbody></table></div>\n";
}

std::string WasteSection(const WasteRow& row) {
  const std::string title = row.service + ": share of prefill wasted";
  return Section(title, Plot(row.timeline, 0, title),
                 "Wasted by (tokens, 30 d)", row.causes);
}

std::string Gaps(const BurnReport& report) {
  const std::vector<std::string> gaps = GapTexts(report);
  if (gaps.empty()) {
    return {};
  }
  std::string html =
      std::string("<div class='gaps'><b>") +
      (report.sources.partial() ? "These figures are partial."
                                : "Known to be missing from the history:") +
      "</b><ul>";
  for (const std::string& gap : gaps) {
    html += "<li>" + Escape(gap) + "</li>";
  }
  return html + "</ul></div>\n";
}

bool HasPlot(const BurnRow& row) {
  return row.requests > 0 &&
         (row.target == Target::kBoth || row.target == Target::kAnswer);
}

}  // namespace

std::string RenderHtml(const BurnReport& report) {
  std::string page = kPageHead;
  page += "<p class='sources'>" + Escape(SourcesText(report)) + "</p>\n" +
          Gaps(report) + BurnTable(report);
  for (const BurnRow& row : report.rows) {
    page += HasPlot(row) ? BurnSection(row) : "";
  }
  if (!report.prefill.empty()) {
    page += WasteTable(report);
  }
  for (const WasteRow& row : report.prefill) {
    page += WasteSection(row);
  }
  if (!report.sources.agent_counters.empty()) {
    page += "<h2>Agents, since they started</h2><section>" +
            CausePlot(report.sources.agent_counters) + "</section>\n";
  }
  return page + "</body></html>\n";
}

}  // namespace acacialug::control
