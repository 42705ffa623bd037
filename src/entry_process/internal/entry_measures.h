#ifndef ENTRY_PROCESS_INTERNAL_ENTRY_MEASURES_H_
#define ENTRY_PROCESS_INTERNAL_ENTRY_MEASURES_H_

#include <cstdint>
#include <string_view>

#include "entry_process/internal/request_trace.h"
#include "entry_process/internal/service_level_recorder.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "framework/metrics/registry.h"
#include "protocol/types/generation.h"

namespace acacialug::entry_process {

// Records the results of an entry's requests, all shards together, under the
// definitions of metric_definitions.h. Thread safe.
class EntryMeasures {
 public:
  // Both outlive this object; without a recorder only metrics are recorded.
  explicit EntryMeasures(metrics::Registry& metrics_registry,
                         ServiceLevelRecorder* level_recorder = nullptr)
      : registry(metrics_registry), recorder(level_recorder) {}

  // A generation, or a call, that completed `now`.
  void OnGenerationCompleted(const RequestTrace& trace,
                             std::uint32_t output_tokens,
                             Instant now);
  void OnCallCompleted(const RequestTrace& trace, Instant now);
  // A request that got an error.
  void OnError(const RequestTrace& trace,
               ResultCode code,
               protocol::Outcome outcome);
  // A request whose caller left before the answer.
  void OnCallerGone(const RequestTrace& trace);
  // A request that was refused before it reached a shard's core.
  void OnBadRequest(ResultCode code);
  // A prefill's result that came after its request had ended.
  void OnLatePrefill(std::string_view service, std::uint64_t tokens);
  // A connection to an agent that ended.
  void OnAgentClosed(ResultCode code);

 private:
  void CountOutcome(const RequestTrace& trace, std::string_view outcome);
  void CountTargets(const RequestTrace& trace,
                    std::uint32_t output_tokens,
                    Instant now);
  void CountPrefill(const RequestTrace& trace,
                    bool completed,
                    service_levels::Cause cause);
  void AddPrefill(std::string_view service,
                  std::uint64_t computed,
                  std::uint64_t wasted,
                  service_levels::Cause cause);
  void CountLevel(const RequestTrace& trace,
                  const service_levels::LevelCounts& counts);

  metrics::Registry& registry;
  ServiceLevelRecorder* const recorder;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_ENTRY_MEASURES_H_
