#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "placement/decode_picker.h"
#include "placement/prefill_picker.h"

namespace acacialug::placement {
namespace {

// A working set of endpoints with different reported loads.
struct Pool {
  explicit Pool(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      auto view = std::make_unique<EndpointView>(EndpointView::Options{
          .id = EndpointId("endpoint-" + std::to_string(index)),
          .distance = index % 4 == 0 ? Duration::zero() : Duration(1500us),
          .slots = 20,
          .kv_tokens = 400000});
      view->Report({.free_kv_tokens = 20000 * (index % 20),
                    .total_kv_tokens = 400000,
                    .running = static_cast<std::uint32_t>(index % 20),
                    .limit = 20,
                    .work_ahead = Duration(10ms) * (index % 30),
                    .next_slot_in = 30ms,
                    .token_interval = 30ms,
                    .prefill_tokens_per_second = 20000},
                   Instant(1s));
      this->usable.push_back(view.get());
      this->views.push_back(std::move(view));
    }
  }

  std::vector<std::unique_ptr<EndpointView>> views;
  std::vector<EndpointView*> usable;
};

constexpr std::size_t kWorkingSet = 64;

void Decide(benchmark::State& state, const PickRule& rule) {
  const Pool pool(kWorkingSet);
  RandomSource random(1);
  const protocol::PrefixChain prefix = {1, 2, 3, 4};
  const std::vector<std::uint64_t> tried = {pool.usable.front()->Key()};
  const PlacementNeed need{.kv_tokens = 9000,
                           .prompt_tokens = 8000,
                           .prefix = prefix,
                           .block_tokens = 2048,
                           .tried = tried,
                           .now = Instant(2s)};
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(rule(pool.usable, need, random));
  }
}

void DecideDecode(benchmark::State& state) {
  Decide(state, PickDecodeByPrediction(3));
}
BENCHMARK(DecideDecode);

void DecideDecodeAmongAll(benchmark::State& state) {
  Decide(state, PickDecodeByPrediction(16));
}
BENCHMARK(DecideDecodeAmongAll);

void DecideCall(benchmark::State& state) {
  Decide(state, PickCallByPrediction(3));
}
BENCHMARK(DecideCall);

void DecidePrefill(benchmark::State& state) {
  auto picker = std::make_shared<PrefillPicker>(PrefillPicker::Options{});
  Decide(state, [picker](Candidates candidates, const PlacementNeed& need,
                         RandomSource& random) {
    return picker->Pick(candidates, need, random);
  });
}
BENCHMARK(DecidePrefill);

}  // namespace
}  // namespace acacialug::placement

BENCHMARK_MAIN();
