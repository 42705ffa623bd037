#ifndef AGENT_INTERNAL_CALL_WORK_H_
#define AGENT_INTERNAL_CALL_WORK_H_

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "agent/internal/deadline_set.h"
#include "agent/internal/once_ledger.h"
#include "agent/internal/shared_parts.h"

namespace acacialug::agent {

// The calls of a plain endpoint: a bounded queue, a bounded number of
// concurrent calls, and at-most-once execution of calls that may not be
// repeated. The attempt table admits attempts before they reach this class. Not
// thread safe.
class CallWork {
 public:
  explicit CallWork(SharedParts& shared_parts);

  // Without `may_run` only calls that the ledger already knows are answered.
  void OnStartCall(const protocol::StartCall& start, bool may_run, Instant now);
  void OnLookUp(SessionId session,
                const protocol::LookUp& look_up,
                Instant now);

  // Engine events; false when the attempt is not one of these calls.
  bool OnCallDone(const engine::CallDone& done, Instant now);
  bool OnFailed(const engine::AttemptFailed& failed, Instant now);

  // The caller has left. A queued call is dropped and an idempotent call is
  // aborted; a call that may not be repeated continues, and its answer is kept.
  void Release(const AttemptId& attempt, Instant now);
  void Expire(Instant now);
  // The drain's grace has ended: all remaining work is ended.
  void EndAll(Instant now);

  // A bound of 0 keeps the bound from the settings.
  void SetBounds(const manifest::Endpoint& endpoint);
  void FillLoad(protocol::EndpointLoad& load) const;
  bool Holds(const AttemptId& attempt) const;
  std::vector<AttemptId> held() const;
  // What each attempt holds here.
  void ForEachHolding(const HoldingVisitor& visit) const;
  bool idle() const { return this->queue.empty() && this->running.empty(); }
  Instant next_timer() const;

 private:
  struct Queued {
    protocol::StartCall start;
    Instant arrived;
  };
  struct Running {
    protocol::Once once;
    Instant started;
    Instant end_by;  // a call without an answer by then is abandoned
    bool has_caller = true;
  };

  // True when the ledger lets the call run; otherwise the call was answered.
  bool PassesLedger(const protocol::StartCall& start,
                    bool may_run,
                    Instant now);
  // The submission did not run; only the submission that the ledger let run may
  // release its key.
  void ReleaseKey(const protocol::Once& once);
  void Dispatch(Instant now);
  // Removes a queued call; false when there is none.
  bool DropQueued(const AttemptId& attempt);
  // Ends a running call whose outcome stays unknown.
  void GiveUp(const AttemptId& attempt, ResultCode code, Instant now);
  void OnDeadline(const AttemptId& attempt, Instant now);
  Duration WaitAhead() const;

  SharedParts& parts;
  std::uint32_t slots;
  OnceLedger ledger;
  std::uint64_t next_number = 0;
  std::map<std::uint64_t, Queued> queue;  // by arrival
  std::unordered_map<AttemptId, std::uint64_t> queue_numbers;
  DeadlineSet<AttemptId> latest_starts;
  std::unordered_map<AttemptId, Running> running;
  DeadlineSet<AttemptId> deadlines;
  double typical_seconds = 0.01;  // smoothed over recent calls
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_CALL_WORK_H_
