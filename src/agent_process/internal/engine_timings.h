#ifndef AGENT_PROCESS_INTERNAL_ENGINE_TIMINGS_H_
#define AGENT_PROCESS_INTERNAL_ENGINE_TIMINGS_H_

#include <unordered_map>

#include "engine/types/engine_messages.h"
#include "framework/global/types/instant.h"
#include "framework/metrics/registry.h"

namespace acacialug::agent_process {

// Measures the engine's latencies from the commands that it receives and the
// events that it sends. Not thread safe.
class EngineTimings {
 public:
  // The registry must outlive this.
  explicit EngineTimings(metrics::Registry& registry);

  void OnCommand(const engine::EngineCommand& command, Instant now);
  void OnEvent(const engine::EngineEvent& event, Instant now);

  // Attempts being measured, for tests.
  std::size_t size() const { return this->begun.size(); }

 private:
  struct Begun {
    Instant last;  // instant of the command, then of the newest text
    bool has_text = false;
  };

  void Begin(const AttemptId& attempt, Instant now);
  void End(const AttemptId& attempt,
           const metrics::Histogram& histogram,
           Instant now);
  void OnText(const AttemptId& attempt, Instant now);

  metrics::Histogram prefill;
  metrics::Histogram first_text;
  metrics::Histogram text_interval;
  metrics::Histogram call;
  std::unordered_map<AttemptId, Begun> begun;
};

}  // namespace acacialug::agent_process

#endif  // AGENT_PROCESS_INTERNAL_ENGINE_TIMINGS_H_
