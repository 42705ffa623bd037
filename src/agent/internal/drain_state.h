#ifndef AGENT_INTERNAL_DRAIN_STATE_H_
#define AGENT_INTERNAL_DRAIN_STATE_H_

#include <cstdint>

#include "agent/internal/bounded_time.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Whether this agent is leaving, for whom, and until when what runs may run.
// Not thread safe.
class DrainState {
 public:
  enum class Cause : std::uint8_t { kProcess, kManifest };

  explicit DrainState(Duration drain_grace) : grace(drain_grace) {}

  // True when the drain begins with this call. The process's wish outlasts
  // the manifest's.
  bool Begin(Cause wish, Instant now) {
    const bool begins = !this->active();
    if (begins) {
      this->ends = After(now, this->grace);
      this->cause = wish;
    } else if (wish == Cause::kProcess) {
      this->cause = wish;
    }
    return begins;
  }

  // A manifest no longer says that the endpoint is leaving.
  void RevokeByManifest() {
    if (this->cause == Cause::kManifest) {
      this->ends = kNever;
      this->over = false;
    }
  }

  // True once, when the grace has ended.
  bool TakeGraceOver(Instant now) {
    const bool ended = this->next_timer() <= now;
    this->over = this->over || ended;
    return ended;
  }

  bool active() const { return this->ends != kNever; }
  Duration GraceLeft(Instant now) const { return Until(this->ends, now); }
  Instant next_timer() const { return this->over ? kNever : this->ends; }

 private:
  Duration grace;
  Cause cause = Cause::kProcess;
  Instant ends = kNever;
  bool over = false;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DRAIN_STATE_H_
