#ifndef STANDIN_TYPES_ENGINE_OPTIONS_H_
#define STANDIN_TYPES_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::standin {

enum class EngineRole : std::uint8_t { kPrefill, kDecode, kMixed };
inline constexpr EnumNames<EngineRole, 3> kEngineRoleNames = {{
    {EngineRole::kPrefill, "prefill"},
    {EngineRole::kDecode, "decode"},
    {EngineRole::kMixed, "mixed"},
}};

// Options of one engine. docs/ENGINE_MODEL.md has the formulas and their
// source, whose values for A100-80GB are the defaults of the iteration.
struct EngineOptions {
  std::string id;
  EngineRole role = EngineRole::kMixed;
  std::string model;  // empty: takes any
  std::string version;
  std::vector<std::string> adapters;
  bool checks_fencing = true;
  Duration load_time = 2s;  // of a model, version or adapter

  // Iterations: W + H * mean_seq / calibration_context * n_active.
  Duration base_iteration = 8ms;
  Duration stream_iteration = 650us;
  std::uint32_t calibration_context = 8192;

  // Capacity. Exports, prefills and streams share the memory.
  std::uint32_t slots = 20;
  std::uint64_t kv_tokens = 0;  // 0: not limited
  std::uint32_t context_tokens = 65536;
  std::uint32_t waiting_limit = 256;  // of both kinds together

  // Prefill.
  double prefill_tokens_per_second = 20000;
  Duration prefill_fixed = 10ms;
  std::uint32_t prefill_chunk_tokens = 2048;
  std::uint32_t prefill_slots = 1;  // if more, their chunks alternate
  std::uint32_t block_tokens = 2048;
  std::uint32_t cache_blocks = 256;  // 0: no prefix cache
  Duration export_lifetime = 800ms;
  // A transfer keeps its export alive for up to this time; zero: only the
  // lifetime counts, also during a transfer.
  Duration pinned_lifetime = 2s;

  // Transfers into this engine.
  std::uint64_t kv_bytes_per_token = 131072;
  std::uint64_t link_bytes_per_second = 12'500'000'000;
  Duration transfer_setup = 2ms;

  // Reports.
  Duration load_lag = 500ms;
  Duration cache_event_delay = 1s;
  double cache_event_gap = 0.05;  // share of events that are never reported
};

// Faults that a test or an operator of the stand-in injects.
struct EngineFaults {
  bool refuse = false;     // all new work, as not run
  double fail_share = 0;   // of accepted work, which fails half-way
  double slow_factor = 1;  // iterations take this many times as long
  double link_factor = 1;  // share of the link's rate; 0: transfers stall
};

}  // namespace acacialug::standin

#endif  // STANDIN_TYPES_ENGINE_OPTIONS_H_
