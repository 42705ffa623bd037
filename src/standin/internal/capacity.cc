#include "standin/capacity.h"

#include <algorithm>

namespace acacialug::standin {

Duration IterationTime(const EngineOptions& engine,
                       double active,
                       double mean_sequence) {
  return engine.base_iteration +
         FromSeconds(Seconds(engine.stream_iteration) * mean_sequence /
                     engine.calibration_context * active);
}

Capacity ComputeCapacity(const EngineOptions& prefill,
                         const EngineOptions& decode,
                         const PoolSizes& pools,
                         const Workload& workload) {
  const double uncached =
      workload.mean_prompt_tokens * (1 - workload.cached_share);
  const double prefill_seconds = Seconds(prefill.prefill_fixed) +
                                 uncached / prefill.prefill_tokens_per_second;
  // A stream reserves memory for its prompt and answer, and on average has half
  // of its answer.
  const double reserved =
      workload.mean_prompt_tokens + workload.mean_output_tokens;
  const double by_memory =
      decode.kv_tokens == 0
          ? decode.slots
          : static_cast<double>(decode.kv_tokens) / std::max(reserved, 1.0);
  const double active = std::min<double>(decode.slots, by_memory);
  const double mean_sequence =
      workload.mean_prompt_tokens + workload.mean_output_tokens / 2;
  const double stream_seconds =
      workload.mean_output_tokens *
      Seconds(IterationTime(decode, active, mean_sequence));
  const double transfer_seconds =
      Seconds(decode.transfer_setup) +
      workload.mean_prompt_tokens *
          static_cast<double>(decode.kv_bytes_per_token) /
          static_cast<double>(decode.link_bytes_per_second);
  Capacity capacity{.prefill = pools.prefill_engines / prefill_seconds,
                    .decode = pools.decode_engines * active / stream_seconds,
                    .links = pools.decode_engines / transfer_seconds};
  capacity.whole =
      std::min({capacity.prefill, capacity.decode, capacity.links});
  return capacity;
}

}  // namespace acacialug::standin
