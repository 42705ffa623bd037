#ifndef FRAMEWORK_METRICS_AXIS_H_
#define FRAMEWORK_METRICS_AXIS_H_

#include <boost/histogram/axis/regular.hpp>

#include "framework/metrics/types/definition.h"

namespace acacialug::metrics {

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// The one axis of a kind; its buckets never change, since programs of two
// versions run side by side during an upgrade and their counts are added.
// Thread safe.
const LogAxis& AxisOf(Axis axis);

// Buckets of an axis and the two for values below and above it. Thread safe.
std::size_t CountsOf(Axis axis);

}  // namespace acacialug::metrics

#endif  // FRAMEWORK_METRICS_AXIS_H_
