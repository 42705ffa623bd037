#ifndef FRAMEWORK_METRICS_TYPES_SNAPSHOT_H_
#define FRAMEWORK_METRICS_TYPES_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/global/types/result.h"
#include "framework/metrics/types/definition.h"

namespace acacialug::metrics {

// The counts of a histogram: below the axis, its buckets, above the axis.
struct HistogramData {
  Axis axis = Axis::kSeconds;
  std::vector<std::uint64_t> counts;
  double sum = 0.0;

  std::uint64_t Count() const;

  // The value below which a share of `quantile` (0 to 1) of the values lies,
  // interpolated within its bucket on the logarithmic axis: the error is less
  // than a bucket's width, 12 % of the value (kSeconds) or 26 % (kSize). Empty
  // without values. Values outside the axis count as its end.
  std::optional<double> Quantile(double quantile) const;

  friend bool operator==(const HistogramData&, const HistogramData&) = default;
};

enum class Kind { kCounter, kGauge, kHistogram };
inline constexpr EnumNames<Kind, 3> kKindNames = {
    {{Kind::kCounter, "counter"},
     {Kind::kGauge, "gauge"},
     {Kind::kHistogram, "histogram"}}};

// One value for each label name, in their order.
using LabelValues = std::vector<std::string>;
// By kind: counter, gauge, histogram.
using SeriesValue = std::variant<std::uint64_t, double, HistogramData>;

// All series of one definition.
struct Family {
  std::string name;
  std::string help;
  Kind kind = Kind::kCounter;
  GaugeMerge merge = GaugeMerge::kSum;  // gauges only
  Axis axis = Axis::kSeconds;           // histograms only
  std::vector<std::string> labels;
  std::map<LabelValues, SeriesValue> series;

  friend bool operator==(const Family&, const Family&) = default;
};

// All metrics of a process at one time, or of several, merged.
struct Snapshot {
  std::map<std::string, Family> families;  // by name

  // The value of a series, or null. The pointer lives as long as the snapshot.
  const SeriesValue* Find(const std::string& family,
                          const LabelValues& labels) const;

  // Adds another process's metrics: counters and buckets add up, gauges by
  // their rule. Merging in any order gives the same counts. Errors:
  // kProtocolVersion when a family of the same name is defined otherwise
  // there; this snapshot is then unchanged.
  Status Merge(const Snapshot& other);

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

}  // namespace acacialug::metrics

#endif  // FRAMEWORK_METRICS_TYPES_SNAPSHOT_H_
