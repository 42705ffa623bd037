#include <benchmark/benchmark.h>
#include <malloc.h>

#include <mutex>

#include "trace/message_steps.h"
#include "trace/request_traces.h"

namespace acacialug::trace {
namespace {

constexpr std::size_t kBound = std::size_t{2} * 1024 * 1024;  // per shard

const EndpointId kDecode("hall-a-decode-07");
const EndpointId kPrefill("hall-b-prefill-03");

RequestId Id(std::uint64_t number) {
  return {.high = number * 0x9e3779b97f4a7c15ULL, .low = number};
}

TraceSubject Subject(std::uint64_t number) {
  return {.request = Id(number),
          .service = "lm-review",
          .latency_class = "interactive"};
}

// The steps of a generation without a refusal.
void Run(RequestTraces& traces, std::uint64_t number) {
  const Instant now = Instant(1s);
  const AttemptNumber one(1);
  traces.Begin(Subject(number), now);
  traces.Add(Id(number), {.kind = StepKind::kQueued}, now);
  traces.Add(Id(number), {.kind = StepKind::kDispatched}, now);
  for (const auto& [kind, endpoint] :
       {std::pair(StepKind::kReserveSent, &kDecode),
        std::pair(StepKind::kReserved, &kDecode),
        std::pair(StepKind::kPrefillStarted, &kPrefill),
        std::pair(StepKind::kPrefilled, &kPrefill),
        std::pair(StepKind::kDecodeStarted, &kDecode)}) {
    traces.Add(Id(number),
               {.kind = kind, .attempt = one, .endpoint = *endpoint}, now);
  }
  traces.Add(Id(number), {.kind = StepKind::kFirstToken}, now);
  for (const auto& [kind, endpoint] :
       {std::pair(StepKind::kReleased, &kPrefill),
        std::pair(StepKind::kDecodeEnded, &kDecode)}) {
    traces.Add(Id(number),
               {.kind = kind, .attempt = one, .endpoint = *endpoint}, now);
  }
  traces.End(Id(number), TraceOutcome::kCompleted, ResultCode::kOk, now);
}

// One whole generation at the bound: each drops an older trace.
void Generation(benchmark::State& state) {
  RequestTraces traces({.max_bytes = kBound});
  std::uint64_t number = 0;
  while (traces.counts().dropped == 0) {
    Run(traces, ++number);
  }
  while (state.KeepRunning()) {
    Run(traces, ++number);
  }
  state.counters["kept"] = static_cast<double>(traces.counts().kept);
}
BENCHMARK(Generation);

// One step under an uncontended lock, as a shard takes it.
void LockedStep(benchmark::State& state) {
  const EndpointId endpoint("hall-a-decode-07");
  RequestTraces traces({.max_bytes = kBound, .max_steps = 12});
  std::mutex mutex;
  traces.Begin(Subject(1), Instant(1s));
  std::uint64_t number = 1;
  std::size_t steps = 0;
  while (state.KeepRunning()) {
    if (++steps == 11) {
      steps = 0;
      traces.End(Id(number), TraceOutcome::kCompleted, ResultCode::kOk,
                 Instant(1s));
      traces.Begin(Subject(++number), Instant(1s));
    }
    const std::scoped_lock lock(mutex);
    traces.Add(Id(number),
               {.kind = StepKind::kReserved,
                .attempt = AttemptNumber(1),
                .endpoint = endpoint},
               Instant(1s));
  }
}
BENCHMARK(LockedStep);

// A chunk of a stream, which is no step.
void ChunkIsNoStep(benchmark::State& state) {
  const EndpointId endpoint("hall-a-decode-07");
  const protocol::AgentToEntry chunk = protocol::Chunk{.text = "a token"};
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(StepOf(endpoint, chunk));
  }
}
BENCHMARK(ChunkIsNoStep);

// The bytes really allocated at the bound, beside the counted ones.
void BytesTaken(benchmark::State& state) {
  std::size_t taken = 0;
  std::size_t counted = 0;
  std::size_t kept = 0;
  while (state.KeepRunning()) {
    const std::size_t before = mallinfo2().uordblks;
    RequestTraces traces({.max_bytes = kBound});
    for (std::uint64_t number = 1; traces.counts().dropped == 0; ++number) {
      Run(traces, number);
    }
    taken = mallinfo2().uordblks - before;
    counted = traces.counts().bytes;
    kept = traces.counts().kept;
  }
  state.counters["taken"] = static_cast<double>(taken);
  state.counters["counted"] = static_cast<double>(counted);
  state.counters["a_trace"] =
      static_cast<double>(taken) / static_cast<double>(kept);
}
BENCHMARK(BytesTaken);

}  // namespace
}  // namespace acacialug::trace

BENCHMARK_MAIN();
