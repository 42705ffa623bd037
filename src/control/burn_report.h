#ifndef CONTROL_BURN_REPORT_H_
#define CONTROL_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/metrics/types/snapshot.h"
#include "manifest/types/manifest.h"

namespace acacialug::control {

// How one class of a service keeps its objective, by the entries' counters.
struct BurnRow {
  std::string service;
  std::string latency_class;
  double objective = 0;         // share that must meet both targets
  std::uint64_t requests = 0;   // ended, but for those whose caller left
  std::uint64_t good = 0;       // completed within both targets
  double compliance = 1;        // good / requests; 1 without requests
  double budget_left = 1;       // of the error budget; below 0: overspent
  double burn_rate = 0;         // 1: spends just the budget
  double window_burn_rate = 0;  // the same, between the two scrapes
  std::uint64_t window_requests = 0;
  std::map<std::string, std::uint64_t> causes;  // of what was missed
};

// Prefill work of a service, in tokens.
struct WasteRow {
  std::string service;
  std::uint64_t computed = 0;
  std::uint64_t wasted = 0;
  double ratio = 0;
  std::map<std::string, std::uint64_t> causes;
};

struct BurnReport {
  Duration window{};
  std::vector<BurnRow> classes;
  std::vector<WasteRow> prefill;
};

// Makes a report of the merged metrics of all entries at two instants, for
// the classes of a manifest. Thread safe.
BurnReport MakeBurnReport(const manifest::Manifest& manifest,
                          const metrics::Snapshot& earlier,
                          const metrics::Snapshot& later,
                          Duration window);

// As a table for a terminal, as JSON for pipelines, and as one self-contained
// page with bars that can be read in light, dark and print. Thread safe.
std::string RenderText(const BurnReport& report);
std::string RenderJson(const BurnReport& report);
std::string RenderHtml(const BurnReport& report);

}  // namespace acacialug::control

#endif  // CONTROL_BURN_REPORT_H_
