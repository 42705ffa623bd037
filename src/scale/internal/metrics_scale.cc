#include <memory>
#include <string>

#include "framework/metrics/exposition.h"
#include "framework/metrics/registry.h"
#include "scale/internal/sections.h"

namespace acacialug::scale {
namespace {

constexpr metrics::CounterDefinition kCounter = {.name = "scale_total",
                                                 .help = "h",
                                                 .labels = {"service", "class"},
                                                 .max_series = 4096};
constexpr metrics::HistogramDefinition kHistogram = {
    .name = "scale_seconds",
    .help = "h",
    .labels = {"service", "class"},
    .max_series = 4096};

double CounterBytes(std::size_t series) {
  const double heap = HeapBytes();
  metrics::Registry registry;
  for (std::size_t i = 0; i < series; ++i) {
    registry.Get(kCounter, {"service-" + std::to_string(i), "interactive"})
        .Add();
  }
  return HeapBytes() - heap;
}

double HistogramBytes(std::size_t series) {
  const double heap = HeapBytes();
  metrics::Registry registry;
  for (std::size_t i = 0; i < series; ++i) {
    registry.Get(kHistogram, {"service-" + std::to_string(i), "interactive"})
        .Record(0.1);
  }
  return HeapBytes() - heap;
}

}  // namespace

std::vector<Sweep> MetricsSweeps() {
  return {{.quantity = "metrics.counter_memory",
           .unit = "bytes",
           .x = "label sets, one recording thread",
           .xs = {50, 200, 1000, 4000},
           .measure = CounterBytes},
          {.quantity = "metrics.histogram_memory",
           .unit = "bytes",
           .x = "label sets, one recording thread",
           .xs = {50, 200, 1000, 4000},
           .measure = HistogramBytes}};
}

}  // namespace acacialug::scale
