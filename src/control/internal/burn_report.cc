#include "control/burn_report.h"

#include <algorithm>
#include <variant>

#include "entry_process/metric_definitions.h"

namespace acacialug::control {
namespace {

using metrics::LabelValues;
using metrics::Snapshot;

constexpr std::string_view kCallerGone = "caller_gone";

// The counters of a family whose first labels are `prefix`, by the label that
// follows them.
std::map<std::string, std::uint64_t> CountsBy(const Snapshot& snapshot,
                                              std::string_view family,
                                              const LabelValues& prefix) {
  std::map<std::string, std::uint64_t> counts;
  const auto found = snapshot.families.find(std::string(family));
  if (found == snapshot.families.end()) {
    return counts;
  }
  for (const auto& [labels, value] : found->second.series) {
    const auto* count = std::get_if<std::uint64_t>(&value);
    if (count != nullptr && labels.size() > prefix.size() &&
        std::equal(prefix.begin(), prefix.end(), labels.begin())) {
      counts[labels[prefix.size()]] += *count;
    }
  }
  return counts;
}

std::uint64_t CountOf(const Snapshot& snapshot,
                      std::string_view family,
                      const LabelValues& labels) {
  const metrics::SeriesValue* value =
      snapshot.Find(std::string(family), labels);
  const auto* count =
      value == nullptr ? nullptr : std::get_if<std::uint64_t>(value);
  return count == nullptr ? 0 : *count;
}

// A caller that went away itself missed no target.
std::uint64_t RequestsOf(const Snapshot& snapshot, const LabelValues& labels) {
  std::uint64_t requests = 0;
  for (const auto& [outcome, count] :
       CountsBy(snapshot, entry_process::kRequestsTotal.name, labels)) {
    requests += outcome == kCallerGone ? 0 : count;
  }
  return requests;
}

double BurnRate(std::uint64_t good, std::uint64_t requests, double objective) {
  if (requests == 0) {
    return 0;
  }
  const double missed =
      1.0 - static_cast<double>(good) / static_cast<double>(requests);
  return missed / (1.0 - objective);
}

BurnRow MakeRow(const std::string& service,
                const manifest::LatencyClass& latency_class,
                const Snapshot& earlier,
                const Snapshot& later) {
  const LabelValues labels = {service, latency_class.name};
  const std::string_view goodput = entry_process::kGoodputTotal.name;
  BurnRow row{.service = service,
              .latency_class = latency_class.name,
              .objective = latency_class.objective,
              .requests = RequestsOf(later, labels),
              .good = CountOf(later, goodput, labels)};
  if (row.requests > 0) {
    row.compliance =
        static_cast<double>(row.good) / static_cast<double>(row.requests);
  }
  row.burn_rate = BurnRate(row.good, row.requests, row.objective);
  row.budget_left = 1.0 - row.burn_rate;
  row.window_requests = row.requests - RequestsOf(earlier, labels);
  row.window_burn_rate = BurnRate(row.good - CountOf(earlier, goodput, labels),
                                  row.window_requests, row.objective);
  row.causes = CountsBy(later, entry_process::kErrorsTotal.name, labels);
  for (const auto& [target, count] :
       CountsBy(later, entry_process::kTargetMissedTotal.name, labels)) {
    row.causes["late_" + target] += count;
  }
  return row;
}

WasteRow MakeWaste(const std::string& service, const Snapshot& later) {
  WasteRow row{
      .service = service,
      .computed =
          CountOf(later, entry_process::kPrefillTokensTotal.name, {service}),
      .causes = CountsBy(later, entry_process::kWastedPrefillTokensTotal.name,
                         {service})};
  for (const auto& [cause, tokens] : row.causes) {
    row.wasted += tokens;
  }
  if (row.computed > 0) {
    row.ratio =
        static_cast<double>(row.wasted) / static_cast<double>(row.computed);
  }
  return row;
}

}  // namespace

BurnReport MakeBurnReport(const manifest::Manifest& manifest,
                          const Snapshot& earlier,
                          const Snapshot& later,
                          Duration window) {
  BurnReport report{.window = window};
  for (const manifest::Service& service : manifest.services) {
    for (const manifest::LatencyClass& latency_class : service.classes) {
      report.classes.push_back(
          MakeRow(service.name.text, latency_class, earlier, later));
    }
    if (service.kind == manifest::ServiceKind::kModel) {
      report.prefill.push_back(MakeWaste(service.name.text, later));
    }
  }
  return report;
}

}  // namespace acacialug::control
