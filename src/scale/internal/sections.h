#ifndef SCALE_INTERNAL_SECTIONS_H_
#define SCALE_INTERNAL_SECTIONS_H_

#include <vector>

#include "scale/internal/sweep.h"

namespace acacialug::scale {

// The measurements of each aggregate, in the order of the report.
std::vector<Sweep> EntrySweeps();
std::vector<Sweep> AgentSweeps();
std::vector<Sweep> ProtocolSweeps();
std::vector<Sweep> HeartbeatSweeps();
std::vector<Sweep> ManifestSweeps();
std::vector<Sweep> DeltaSweeps();
std::vector<Sweep> OnceSweeps();
std::vector<Sweep> MetricsSweeps();
std::vector<Sweep> ServiceLevelSweeps();

}  // namespace acacialug::scale

#endif  // SCALE_INTERNAL_SECTIONS_H_
