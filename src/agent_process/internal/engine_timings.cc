#include "agent_process/internal/engine_timings.h"

#include <variant>

#include "agent_process/metric_definitions.h"

namespace acacialug::agent_process {

EngineTimings::EngineTimings(metrics::Registry& registry)
    : prefill(registry.Get(kEnginePrefillSeconds)),
      first_text(registry.Get(kEngineFirstTextSeconds)),
      text_interval(registry.Get(kEngineTextIntervalSeconds)),
      call(registry.Get(kEngineCallSeconds)) {}

void EngineTimings::OnCommand(const engine::EngineCommand& command,
                              Instant now) {
  if (const auto* started = std::get_if<engine::Prefill>(&command)) {
    this->Begin(started->attempt, now);
  } else if (const auto* stream = std::get_if<engine::Decode>(&command)) {
    this->Begin(stream->attempt, now);
  } else if (const auto* request = std::get_if<engine::Call>(&command)) {
    this->Begin(request->attempt, now);
  } else if (const auto* abort = std::get_if<engine::Abort>(&command)) {
    this->begun.erase(abort->attempt);
  }
}

void EngineTimings::OnEvent(const engine::EngineEvent& event, Instant now) {
  if (const auto* text = std::get_if<engine::Text>(&event)) {
    this->OnText(text->attempt, now);
  } else if (const auto* done = std::get_if<engine::PrefillDone>(&event)) {
    this->End(done->attempt, this->prefill, now);
  } else if (const auto* answered = std::get_if<engine::CallDone>(&event)) {
    this->End(answered->attempt, this->call, now);
  } else if (const auto* ended = std::get_if<engine::StreamDone>(&event)) {
    this->begun.erase(ended->attempt);
  } else if (const auto* failed = std::get_if<engine::AttemptFailed>(&event)) {
    this->begun.erase(failed->attempt);
  }
}

void EngineTimings::Begin(const AttemptId& attempt, Instant now) {
  this->begun[attempt] = Begun{.last = now};
}

void EngineTimings::End(const AttemptId& attempt,
                        const metrics::Histogram& histogram,
                        Instant now) {
  const auto found = this->begun.find(attempt);
  if (found != this->begun.end()) {
    histogram.Record(Seconds(now - found->second.last));
    this->begun.erase(found);
  }
}

void EngineTimings::OnText(const AttemptId& attempt, Instant now) {
  const auto found = this->begun.find(attempt);
  if (found == this->begun.end()) {
    return;
  }
  Begun& stream = found->second;
  const metrics::Histogram& histogram =
      stream.has_text ? this->text_interval : this->first_text;
  histogram.Record(Seconds(now - stream.last));
  stream = {.last = now, .has_text = true};
}

}  // namespace acacialug::agent_process
