#ifndef AGENT_INTERNAL_PREFILL_WORK_H_
#define AGENT_INTERNAL_PREFILL_WORK_H_

#include <unordered_map>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/internal/prefill_forecast.h"
#include "agent/internal/prefill_queue.h"
#include "agent/internal/prefix_memory.h"
#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

// Admission, queue and exports of a prefill endpoint. The attempt table admits
// attempts before they reach this class. Not thread safe.
class PrefillWork {
 public:
  explicit PrefillWork(SharedParts& shared_parts);

  void OnStartPrefill(const protocol::StartPrefill& start, Instant now);

  // Engine events; false when the attempt is not one of these prefills.
  bool OnPrefillDone(const engine::PrefillDone& done, Instant now);
  bool OnFailed(const engine::AttemptFailed& failed, Instant now);

  // Releases everything that the attempt holds; an unknown attempt is no error.
  void Release(const AttemptId& attempt, Instant now);
  void Expire(Instant now);
  // The drain's grace has ended: all remaining work is ended.
  void EndAll(Instant now);

  // A bound of 0 keeps the bound from the settings.
  void SetBounds(const manifest::Endpoint& endpoint);
  void FillLoad(protocol::EndpointLoad& load, Instant now) const;
  bool Holds(const AttemptId& attempt) const;
  std::vector<AttemptId> held() const;
  // What each attempt holds here.
  void ForEachHolding(const HoldingVisitor& visit) const;
  bool idle() const;
  Instant next_timer() const;

 private:
  struct Running {
    protocol::PrefixChain prefix;
    std::uint64_t prompt_tokens = 0;
    Instant predicted;
    bool stall_deferred = false;  // its stall was detected late and deferred
  };

  void Dispatch(Instant now);
  void ExpireStalled(Instant now);
  void RefuseLate(const AttemptId& attempt, Instant now);
  // Forgets the prefill in the engine; false when there is none.
  bool EndRunning(const AttemptId& attempt, Instant now);
  Duration WorkAhead(Instant now) const;

  SharedParts& parts;
  std::uint32_t slots;
  PrefillForecast forecast;
  PrefixMemory prefixes;
  PrefillQueue queue;
  std::unordered_map<AttemptId, Running> running;
  DeadlineSet<AttemptId> stalls;
  std::unordered_map<AttemptId, Instant> exports;
  DeadlineSet<AttemptId> export_ends;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_PREFILL_WORK_H_
