#ifndef FRAMEWORK_METRICS_TYPES_DEFINITION_H_
#define FRAMEWORK_METRICS_TYPES_DEFINITION_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "framework/global/types/enum_names.h"

namespace acacialug::metrics {

// Names of up to four labels; empty ones at the end are unused.
using LabelNames = std::array<std::string_view, 4>;

// Beyond this many combinations of label values a family counts the rest
// under "other": a label that takes a caller's text must not take all memory.
inline constexpr std::size_t kDefaultMaxSeries = 256;

// What the values of a histogram measure. Each kind has one axis, the same in
// every program, so that histograms of all processes add up bucket by bucket.
enum class Axis {
  kSeconds,  // 10 us to 1000 s, 20 buckets a decade
  kSize,     // 1 to 10^8 (tokens, requests, KiB), 10 buckets a decade
};
inline constexpr EnumNames<Axis, 2> kAxisNames = {
    {{Axis::kSeconds, "seconds"}, {Axis::kSize, "size"}}};

// How gauges of several processes become one.
enum class GaugeMerge { kSum, kMaximum, kMinimum };
inline constexpr EnumNames<GaugeMerge, 3> kGaugeMergeNames = {
    {{GaugeMerge::kSum, "sum"},
     {GaugeMerge::kMaximum, "maximum"},
     {GaugeMerge::kMinimum, "minimum"}}};

// A metric is defined once, as a constant that all programs share:
//
//   inline constexpr CounterDefinition kRequests = {
//       .name = "acacialug_requests_total",
//       .help = "Requests answered, by outcome",
//       .labels = {"service", "outcome"}};
//
// Names and labels match [a-z_][a-z0-9_]*; a counter's name ends in _total.

struct CounterDefinition {
  std::string_view name;
  std::string_view help;
  LabelNames labels{};
  std::size_t max_series = kDefaultMaxSeries;
};

struct GaugeDefinition {
  std::string_view name;
  std::string_view help;
  LabelNames labels{};
  std::size_t max_series = kDefaultMaxSeries;
  GaugeMerge merge = GaugeMerge::kSum;
};

// A series takes 1.4 KB (kSeconds) or 0.8 KB for each recording thread.
struct HistogramDefinition {
  std::string_view name;
  std::string_view help;
  LabelNames labels{};
  std::size_t max_series = kDefaultMaxSeries;
  Axis axis = Axis::kSeconds;
};

}  // namespace acacialug::metrics

#endif  // FRAMEWORK_METRICS_TYPES_DEFINITION_H_
