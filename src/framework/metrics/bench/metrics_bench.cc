#include <benchmark/benchmark.h>

#include <thread>

#include "framework/metrics/exposition.h"
#include "framework/metrics/registry.h"

namespace acacialug::metrics {
namespace {

constexpr CounterDefinition kCounter = {.name = "bench_total",
                                        .help = "h",
                                        .labels = {"service"}};
constexpr HistogramDefinition kHistogram = {.name = "bench_seconds",
                                            .help = "h",
                                            .labels = {"service"}};

Registry& TheRegistry() {
  static Registry registry;
  return registry;
}

// All threads record in the same series, the case with most contention.
void CounterAdd(benchmark::State& state) {
  const Counter counter = TheRegistry().Get(kCounter, {"s"});
  while (state.KeepRunning()) {
    counter.Add();
  }
}
BENCHMARK(CounterAdd)->ThreadRange(1, 32)->UseRealTime();

void HistogramRecord(benchmark::State& state) {
  const Histogram histogram = TheRegistry().Get(kHistogram, {"s"});
  double value = 1e-4;
  while (state.KeepRunning()) {
    histogram.Record(value);
    value = value < 100.0 ? value * 1.01 : 1e-4;
  }
}
BENCHMARK(HistogramRecord)->ThreadRange(1, 32)->UseRealTime();

// Threads record while the first one keeps taking snapshots, as an impatient
// scraper would.
void HistogramRecordWhileRead(benchmark::State& state) {
  const Histogram histogram = TheRegistry().Get(kHistogram, {"s"});
  std::jthread scraper;
  if (state.thread_index() == 0) {
    scraper = std::jthread([](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        benchmark::DoNotOptimize(TheRegistry().Read());
      }
    });
  }
  while (state.KeepRunning()) {
    histogram.Record(0.25);
  }
}
BENCHMARK(HistogramRecordWhileRead)->Threads(4)->Threads(8)->UseRealTime();

void ReadAndExpose(benchmark::State& state) {
  for (int service = 0; service < 100; ++service) {
    TheRegistry().Get(kHistogram, {std::to_string(service)}).Record(0.25);
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(PrometheusText(TheRegistry().Read()));
  }
}
BENCHMARK(ReadAndExpose)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace acacialug::metrics
