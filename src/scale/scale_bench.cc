#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "scale/internal/sections.h"

// Measures how the cost of each aggregate grows, in one process. Aggregates
// have no sockets, HTTP or event loop, whose costs are not included.
//
//   scale_bench [FILE]   writes the rows as JSON to FILE, else to stdout

namespace acacialug::scale {
namespace {

nlohmann::json ToJson(const Row& row) {
  nlohmann::json points = nlohmann::json::array();
  for (const Point& point : row.points) {
    points.push_back({point.x, point.y});
  }
  return {{"quantity", row.quantity},
          {"unit", row.unit},
          {"x", row.x},
          {"points", points},
          {"slope", row.slope},
          {"intercept", row.intercept},
          {"slope_least", row.slope_least},
          {"slope_greatest", row.slope_greatest},
          {"spread", row.spread},
          {"runs", row.runs},
          {"command", "buildscripts/bench.sh scale"}};
}

nlohmann::json MeasureAll() {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& sweeps :
       {ProtocolSweeps(), HeartbeatSweeps(), AgentSweeps(), OnceSweeps(),
        MetricsSweeps(), ServiceLevelSweeps(), EntrySweeps(), ManifestSweeps(),
        DeltaSweeps()}) {
    for (const Sweep& sweep : sweeps) {
      const Row row = Fit(sweep);
      std::fprintf(stderr, "%-26s %12.3f %s each of: %s (spread %.0f %%)\n",
                   row.quantity.c_str(), row.slope, row.unit.c_str(),
                   row.x.c_str(), 100 * row.spread);
      rows.push_back(ToJson(row));
    }
  }
  return {{"measured", "aggregates in one process"}, {"rows", rows}};
}

}  // namespace
}  // namespace acacialug::scale

int main(int argc, char** argv) {
  const std::string text = acacialug::scale::MeasureAll().dump(1) + "\n";
  if (argc < 2) {
    std::cout << text;
    return std::cout.flush().good() ? 0 : 1;
  }
  std::ofstream file(argv[1]);
  file << text;
  return file.flush().good() ? 0 : 1;
}
