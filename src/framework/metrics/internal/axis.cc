#include "framework/metrics/axis.h"

namespace acacialug::metrics {

const LogAxis& AxisOf(Axis axis) {
  static const LogAxis kSeconds(/*buckets=*/160, 1e-5, 1e3);
  static const LogAxis kSize(/*buckets=*/80, 1.0, 1e8);
  return axis == Axis::kSeconds ? kSeconds : kSize;
}

std::size_t CountsOf(Axis axis) {
  return static_cast<std::size_t>(AxisOf(axis).size()) + 2;
}

}  // namespace acacialug::metrics
