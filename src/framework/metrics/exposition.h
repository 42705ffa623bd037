#ifndef FRAMEWORK_METRICS_EXPOSITION_H_
#define FRAMEWORK_METRICS_EXPOSITION_H_

#include <string>
#include <string_view>

#include "framework/global/types/result.h"
#include "framework/metrics/types/snapshot.h"

namespace acacialug::metrics {

inline constexpr std::string_view kPrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

// The text that a Prometheus server scrapes. Histograms are shown by every
// fourth bucket edge (5 a decade, or 2.5 for Axis::kSize), the same ones at
// each scrape; the JSON form has them all. Thread safe.
std::string PrometheusText(const Snapshot& snapshot);

// The whole snapshot for our own programs, without loss. Thread safe.
std::string ToJson(const Snapshot& snapshot);

// The inverse of ToJson. Errors: kMalformedJson for text that is no JSON or
// not of this form (bucket numbers outside the axis, values of another kind,
// label values without a name). Thread safe.
Result<Snapshot> FromJson(std::string_view text);

}  // namespace acacialug::metrics

#endif  // FRAMEWORK_METRICS_EXPOSITION_H_
