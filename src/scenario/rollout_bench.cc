// Measures, in virtual time, how long the rollout of a new model version takes
// in a pool without load, by the pool's size, the number of endpoints that may
// be out of service at once, and the permits of the weight store. Prints a
// Markdown table.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

#include "scenario/simulation.h"

namespace acacialug::scenario {
namespace {

constexpr Duration kLoadTime = 30s;
constexpr Duration kLongest = 2h;

struct Rollout {
  std::uint32_t endpoints = 0;
  std::uint32_t out_at_once = 0;  // allowed by the floor
  std::uint32_t permits = 0;      // zero: no weight store
};

struct Measured {
  Duration time{};
  std::uint32_t most_out = 0;
  std::uint64_t appends = 0;
  std::size_t violations = 0;
};

std::string NameOfDecode(std::uint32_t number) {
  return "d" + std::to_string(number);
}

Measured Run(const Rollout& rollout) {
  Simulation simulation(
      {.entries = 1,
       .prefill = 1,
       .decode = rollout.endpoints,
       .plain = 0,
       .load_time = kLoadTime,
       .permits = rollout.permits,
       .minimum_serving = rollout.endpoints - rollout.out_at_once});
  simulation.Run(5s);
  simulation.SetModelVersion("2");
  const Duration began = simulation.age();
  simulation.Publish("v2", simulation.OffsetOf("entry e1"), {});
  Measured measured;
  bool done = false;
  while (!done && simulation.age() - began < kLongest) {
    simulation.Run(100ms);
    done = true;
    std::uint32_t out = 0;
    for (std::uint32_t number = 1; number <= rollout.endpoints; ++number) {
      const std::string id = NameOfDecode(number);
      const agent::OrderStatus status = simulation.OrdersAt(id);
      out += status.out ? 1 : 0;
      done = done && status.confirmed && simulation.EngineVersion(id) == "2";
    }
    measured.most_out = std::max(measured.most_out, out);
  }
  measured.time = simulation.age() - began;
  simulation.Run(60s);  // the last one leaves the maintenance queue
  for (std::uint32_t number = 1; number <= rollout.endpoints; ++number) {
    measured.appends += simulation.OrdersAt(NameOfDecode(number)).appends;
  }
  measured.violations = simulation.checker().violations().size();
  return measured;
}

void Print(const Rollout& rollout) {
  const Measured measured = Run(rollout);
  std::printf(
      "| %u | %u | %s | %.0f s | %u | %llu | %zu |\n", rollout.endpoints,
      rollout.out_at_once,
      rollout.permits == 0 ? "-" : std::to_string(rollout.permits).c_str(),
      Seconds(measured.time), measured.most_out,
      static_cast<unsigned long long>(measured.appends), measured.violations);
}

void Main() {
  std::printf(
      "| endpoints | may be out | permits | time | most out | appends "
      "| broken promises |\n|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t endpoints : {4U, 10U, 40U}) {
    for (const std::uint32_t out_at_once : {1U, 2U, 8U}) {
      for (const std::uint32_t permits : {0U, 2U}) {
        if (out_at_once < endpoints) {
          Print({endpoints, out_at_once, permits});
        }
      }
    }
  }
}

}  // namespace
}  // namespace acacialug::scenario

int main() {
  acacialug::scenario::Main();
  return 0;
}
