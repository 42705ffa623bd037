#ifndef AGENT_INTERNAL_DRAIN_STATE_H_
#define AGENT_INTERNAL_DRAIN_STATE_H_

#include <cstdint>

#include "agent/internal/bounded_time.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Whether this agent is leaving, for which cause, and until when running work
// may continue. Not thread safe.
class DrainState {
 public:
  enum class Cause : std::uint8_t { kProcess, kManifest };

  explicit DrainState(Duration drain_grace) : grace(drain_grace) {}

  // True when the drain begins with this call. A drain that the process
  // requests outlasts one by the manifest.
  bool Begin(Cause new_cause, Instant now) {
    const bool begins = !this->active();
    if (begins) {
      this->ends = After(now, this->grace);
      this->cause = new_cause;
    } else if (new_cause == Cause::kProcess) {
      this->cause = new_cause;
    }
    return begins;
  }

  // The manifest no longer marks the endpoint as leaving.
  void RevokeByManifest() {
    if (this->cause == Cause::kManifest) {
      this->ends = kNever;
      this->grace_ended = false;
    }
  }

  // True once, when the grace has ended.
  bool TakeGraceEnded(Instant now) {
    const bool ended = this->next_timer() <= now;
    this->grace_ended = this->grace_ended || ended;
    return ended;
  }

  bool active() const { return this->ends != kNever; }
  Duration GraceLeft(Instant now) const { return Until(this->ends, now); }
  Instant next_timer() const { return this->grace_ended ? kNever : this->ends; }

 private:
  Duration grace;
  Cause cause = Cause::kProcess;
  Instant ends = kNever;
  bool grace_ended = false;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DRAIN_STATE_H_
