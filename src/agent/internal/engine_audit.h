#ifndef AGENT_INTERNAL_ENGINE_AUDIT_H_
#define AGENT_INTERNAL_ENGINE_AUDIT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// Compares what the engine holds with what this agent owns. A predecessor on
// this host may have died with streams running, and an abort or an engine event
// may be lost: the engine's memory would then stay in use for no request. Not
// thread safe.
class EngineAudit {
 public:
  struct Options {
    Duration interval = 5s;        // between two listings
    Duration answer_timeout = 2s;  // an engine that does not answer
    Duration min_retry = 100ms;    // doubled up to `interval`
    std::size_t max_recent = 65536;
  };
  using OwnsHook = std::function<bool(const AttemptId&)>;

  explicit EngineAudit(Options audit_options)
      : options(audit_options), retry(audit_options.min_retry) {}

  void Start(Instant now) { this->next_listing = now; }

  // True when the engine has to be queried now; the query then counts as
  // running.
  bool TakeDue(Instant now);

  // Takes the engine's answer and returns the attempts to abort. An attempt
  // that was released since shortly before the listing was requested is left to
  // the next listing, since the engine may have composed its answer before the
  // release reached it.
  std::vector<AttemptId> OnHeld(const std::vector<AttemptId>& held,
                                const OwnsHook& owns,
                                Instant now);
  void OnListFailed(Instant now);

  // The engine was ordered to free the attempt, or reported that it has.
  void NoteReleased(const AttemptId& attempt, Instant now);

  // The engine has answered once: no work of a predecessor runs any more.
  bool ready() const { return this->answered; }
  Instant next_timer() const { return this->next_listing; }

 private:
  void ForgetOld(Instant now);

  Options options;
  Duration retry;
  Instant next_listing = kNever;
  Instant requested_at{};
  bool answered = false;
  std::unordered_map<AttemptId, Instant> released;
  std::deque<std::pair<Instant, AttemptId>> release_order;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ENGINE_AUDIT_H_
