#ifndef STANDIN_CAPACITY_H_
#define STANDIN_CAPACITY_H_

#include <cstdint>

#include "framework/global/types/instant.h"
#include "standin/types/engine_options.h"

namespace acacialug::standin {

struct Workload {
  double mean_prompt_tokens = 0;
  double cached_share = 0;  // of the prompt, found in the prefix cache
  double mean_output_tokens = 0;
};

struct PoolSizes {
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
};

// Upper bounds in requests per second, each for one resource alone; the
// smallest is the bound of the whole. The formulas are in docs/ENGINE_MODEL.md.
struct Capacity {
  double prefill = 0;
  double decode = 0;
  double links = 0;
  double whole = 0;
};

// W + H * mean_seq / calibration_context * n_active. Thread safe.
Duration IterationTime(const EngineOptions& engine,
                       double active,
                       double mean_sequence);

// Preconditions: at least one engine in each pool, output tokens above zero.
// Thread safe.
Capacity ComputeCapacity(const EngineOptions& prefill,
                         const EngineOptions& decode,
                         const PoolSizes& pools,
                         const Workload& workload);

}  // namespace acacialug::standin

#endif  // STANDIN_CAPACITY_H_
