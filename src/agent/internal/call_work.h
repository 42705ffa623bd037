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

// The calls of a plain endpoint: a bounded queue, some at once, and at most
// once where a call may not be repeated. Attempts were admitted by the
// attempt table before they come here. Not thread safe.
class CallWork {
 public:
  explicit CallWork(SharedParts& shared_parts);

  // Without `may_run` only what the ledger already knows is answered.
  void OnStartCall(const protocol::StartCall& start, bool may_run, Instant now);
  void OnLookUp(SessionId session,
                const protocol::LookUp& look_up,
                Instant now);

  // Engine events; false when the attempt is not one of these calls.
  bool OnCallDone(const engine::CallDone& done, Instant now);
  bool OnFailed(const engine::AttemptFailed& failed, Instant now);

  // The caller is gone. A queued call is dropped and an idempotent one
  // aborted; one that may not be repeated goes on, and its answer is kept.
  void Release(const AttemptId& attempt, Instant now);
  void Expire(Instant now);
  // The drain's grace is over: nothing stays.
  void EndAll(Instant now);

  // A bound of 0 leaves the one from the settings.
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
    Instant end_by;  // by then the call has answered or is given up
    bool has_caller = true;
  };

  // True when the ledger lets the call run; otherwise it was answered.
  bool PassesLedger(const protocol::StartCall& start,
                    bool may_run,
                    Instant now);
  // The submission did not run; only the one that the ledger let run may
  // release its key.
  void ReleaseKey(const protocol::Once& once);
  void Dispatch(Instant now);
  // Takes a queued call out; false when there is none.
  bool DropQueued(const AttemptId& attempt);
  // Ends a running call whose outcome nobody will learn.
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
