#include "framework/metrics/types/snapshot.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "framework/metrics/axis.h"

namespace acacialug::metrics {
namespace {

bool SameDefinition(const Family& left, const Family& right) {
  return left.kind == right.kind && left.merge == right.merge &&
         left.axis == right.axis && left.labels == right.labels;
}

double MergeGauges(GaugeMerge rule, double left, double right) {
  switch (rule) {
    case GaugeMerge::kMaximum:
      return std::max(left, right);
    case GaugeMerge::kMinimum:
      return std::min(left, right);
    case GaugeMerge::kSum:
      break;
  }
  return left + right;
}

// Precondition: both hold the same alternative, with the same axis.
void MergeValue(GaugeMerge rule, SeriesValue& into, const SeriesValue& from) {
  if (auto* count = std::get_if<std::uint64_t>(&into)) {
    *count += std::get<std::uint64_t>(from);
  } else if (auto* gauge = std::get_if<double>(&into)) {
    *gauge = MergeGauges(rule, *gauge, std::get<double>(from));
  } else {
    auto& data = std::get<HistogramData>(into);
    const auto& added = std::get<HistogramData>(from);
    std::transform(data.counts.begin(), data.counts.end(), added.counts.begin(),
                   data.counts.begin(), std::plus<>());
    data.sum += added.sum;
  }
}

void MergeFamily(Family& into, const Family& from) {
  for (const auto& [labels, value] : from.series) {
    const auto [place, added] = into.series.try_emplace(labels, value);
    if (!added) {
      MergeValue(into.merge, place->second, value);
    }
  }
}

}  // namespace

std::uint64_t HistogramData::Count() const {
  return std::accumulate(this->counts.begin(), this->counts.end(),
                         std::uint64_t{0});
}

std::optional<double> HistogramData::Quantile(double quantile) const {
  const std::uint64_t total = this->Count();
  if (total == 0) {
    return std::nullopt;
  }
  const LogAxis& buckets = AxisOf(this->axis);
  const double rank =
      std::clamp(quantile, 0.0, 1.0) * static_cast<double>(total);
  double below = static_cast<double>(this->counts.front());
  if (rank <= below && below > 0) {
    return buckets.value(0);
  }
  for (int bucket = 0; bucket < buckets.size(); ++bucket) {
    const auto count =
        static_cast<double>(this->counts[static_cast<std::size_t>(bucket) + 1]);
    if (count > 0 && rank <= below + count) {
      return buckets.value(bucket + (rank - below) / count);
    }
    below += count;
  }
  return buckets.value(buckets.size());
}

const SeriesValue* Snapshot::Find(const std::string& family,
                                  const LabelValues& labels) const {
  const auto found = this->families.find(family);
  if (found == this->families.end()) {
    return nullptr;
  }
  const auto series = found->second.series.find(labels);
  return series == found->second.series.end() ? nullptr : &series->second;
}

Status Snapshot::Merge(const Snapshot& other) {
  for (const auto& [name, family] : other.families) {
    const auto known = this->families.find(name);
    if (known != this->families.end() &&
        !SameDefinition(known->second, family)) {
      return Error(ResultCode::kProtocolVersion,
                   "metric " + name + " is defined otherwise there");
    }
  }
  for (const auto& [name, family] : other.families) {
    const auto [place, added] = this->families.try_emplace(name, family);
    if (!added) {
      MergeFamily(place->second, family);
    }
  }
  return Success{};
}

}  // namespace acacialug::metrics
