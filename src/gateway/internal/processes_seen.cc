#include "gateway/internal/processes_seen.h"

namespace acacialug::gateway {

void ProcessesSeen::Note(const EndpointId& endpoint,
                         std::int64_t started_at_ms,
                         Instant now) {
  if (started_at_ms == 0) {
    return;
  }
  Process& process = this->processes[endpoint];
  if (process.started_at_ms != started_at_ms) {
    process = {.started_at_ms = started_at_ms, .since = now};
  }
}

bool ProcessesSeen::TellsStart(const EndpointRecord& record) const {
  return record.started_at_ms != 0 || this->processes.contains(record.id);
}

// A process that reported before the request was sent, or well before the
// answer's connection ended, had no predecessor at work any more. The margin is
// for an end that lies unread in a socket while the report is read; a longer
// delay is a stall.
ProcessesSeen::Maker ProcessesSeen::MakerOf(const EndpointRecord& record,
                                            Instant sent_at,
                                            Instant now,
                                            const TimerQueue& timers) const {
  Maker maker{.by_record = record.started_at_ms};
  const auto found = this->processes.find(record.id);
  if (found == this->processes.end()) {
    return maker;
  }
  const Instant since = found->second.since;
  const bool before_end = since + TimerQueue::kStallThreshold <= now &&
                          !timers.StalledBetween(since, now);
  if (since <= sent_at || before_end) {
    maker.by_report = found->second.started_at_ms;
  }
  return maker;
}

void ProcessesSeen::Sweep(const EndpointCatalog& catalog) {
  std::erase_if(this->processes, [&catalog](const auto& process) {
    return catalog.Find(process.first) == nullptr;
  });
}

}  // namespace acacialug::gateway
