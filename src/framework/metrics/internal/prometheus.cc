#include <spdlog/fmt/fmt.h>

#include <iterator>

#include "framework/metrics/axis.h"
#include "framework/metrics/exposition.h"

namespace acacialug::metrics {
namespace {

constexpr int kShownEdges = 4;  // every fourth

// Escapes backslash and line feed, and in label values the quote, as the text
// format asks; a raw line feed would start a line of its own.
std::string Escaped(std::string_view text, bool quotes) {
  std::string escaped;
  for (const char letter : text) {
    if (letter == '\\' || (quotes && letter == '"')) {
      escaped += '\\';
    }
    if (letter == '\n') {
      escaped += "\\n";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

// `extra` is a further label, ready for the text, or empty.
std::string LabelText(const Family& family,
                      const LabelValues& values,
                      const std::string& extra = "") {
  std::string text;
  for (std::size_t index = 0; index < family.labels.size(); ++index) {
    text += (text.empty() ? "" : ",") + family.labels[index] + "=\"" +
            Escaped(values[index], /*quotes=*/true) + "\"";
  }
  if (!extra.empty()) {
    text += (text.empty() ? "" : ",") + extra;
  }
  return text.empty() ? text : "{" + text + "}";
}

// Six digits: edges come from the C library's exponential, whose last bit may
// differ between hosts, and `le` has to be the same text everywhere.
std::string EdgeText(double edge) {
  return fmt::format("{:.6g}", edge);
}

void AppendHistogram(std::string& page,
                     const Family& family,
                     const LabelValues& labels,
                     const HistogramData& data) {
  const LogAxis& axis = AxisOf(data.axis);
  const auto bucket_line = [&](const std::string& edge, std::uint64_t count) {
    fmt::format_to(std::back_inserter(page), "{}_bucket{} {}\n", family.name,
                   LabelText(family, labels, "le=\"" + edge + "\""), count);
  };
  std::uint64_t below = 0;
  for (int edge = 0; edge <= axis.size(); ++edge) {
    below += data.counts[static_cast<std::size_t>(edge)];
    if (edge % kShownEdges == 0) {
      bucket_line(EdgeText(axis.value(edge)), below);
    }
  }
  bucket_line("+Inf", data.Count());
  const std::string label_text = LabelText(family, labels);
  fmt::format_to(std::back_inserter(page), "{}_sum{} {}\n{}_count{} {}\n",
                 family.name, label_text, data.sum, family.name, label_text,
                 data.Count());
}

void AppendSeries(std::string& page,
                  const Family& family,
                  const LabelValues& labels,
                  const SeriesValue& value) {
  if (const auto* data = std::get_if<HistogramData>(&value)) {
    AppendHistogram(page, family, labels, *data);
    return;
  }
  const std::string number =
      family.kind == Kind::kCounter
          ? std::to_string(std::get<std::uint64_t>(value))
          : fmt::format("{}", std::get<double>(value));
  page += family.name + LabelText(family, labels) + " " + number + "\n";
}

}  // namespace

std::string PrometheusText(const Snapshot& snapshot) {
  std::string page;
  for (const auto& [name, family] : snapshot.families) {
    fmt::format_to(std::back_inserter(page), "# HELP {} {}\n# TYPE {} {}\n",
                   name, Escaped(family.help, /*quotes=*/false), name,
                   NameOf(kKindNames, family.kind));
    for (const auto& [labels, value] : family.series) {
      AppendSeries(page, family, labels, value);
    }
  }
  return page;
}

}  // namespace acacialug::metrics
